#include "test/endpoint_standin/server.hpp"

#include <utility>

#include "test/endpoint_standin/connection.hpp"

namespace camphormux::endpoint_standin {

using asio::ip::tcp;

HostServer::HostServer(SharedState& shared, HostSpec spec)
    : shared_(shared), acceptor_(shared.loop), reboot_timer_(shared.loop) {
  host_.spec = std::move(spec);
  Listen();
}

HostServer::~HostServer() { Stop(); }

void HostServer::Listen() {
  const tcp::endpoint address(asio::ip::make_address(host_.spec.address.ip),
                              host_.spec.address.port);
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  Accept();
}

void HostServer::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error,
                                tcp::socket socket) {
    if (error) {
      return;
    }
    if (host_.connections >= kMaxConnections) {
      ++host_.counts.refused_connections;
    } else {
      ++host_.connections;
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void HostServer::Reboot() {
  shared_.journal.WriteEvent(host_, "reboot");
  acceptor_.close();
  CloseConnections();
  reboot_timer_.expires_after(shared_.reboot_time);
  reboot_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      EndReboot(host_);
      shared_.journal.WriteEvent(host_, "boot");
      Listen();
    }
  });
}

void HostServer::Stop() {
  reboot_timer_.cancel();
  asio::error_code ignored;
  acceptor_.close(ignored);
  CloseConnections();
}

void HostServer::CloseConnections() {
  const auto open = std::exchange(connections_, {});
  for (const auto& connection : open) {
    connection->Close();
  }
}

void HostServer::Remove(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection);
}

}  // namespace camphormux::endpoint_standin
