#include "camphormux/gateway/traffic_thread.hpp"

#include <utility>

#include <asio/post.hpp>

namespace camphormux::gateway {

TrafficThread::TrafficThread(const core::Address& address,
                             DispatcherOptions options, core::Random random,
                             MetricsStore& metrics,
                             telemetry::SpanExporter& spans,
                             const KeyStoreFactory& keys)
    : work_(loop_.get_executor()) {
  CallerServerOptions server_options;
  server_options.max_body = options.max_body;
  server_options.max_header = options.max_header;
  dispatcher_ = std::make_shared<Dispatcher>(loop_, std::move(options), random,
                                             metrics, spans, keys(loop_));
  server_ = std::make_unique<CallerServer>(
      loop_, address,
      [dispatcher = dispatcher_.get()](
          CallerRequest request, std::shared_ptr<CallerResponse> response) {
        dispatcher->Handle(std::move(request), std::move(response));
      },
      server_options);
  thread_ = std::thread([this] { loop_.run(); });
}

TrafficThread::~TrafficThread() {
  loop_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TrafficThread::Post(std::function<void(Dispatcher&)> action) {
  asio::post(loop_, [dispatcher = dispatcher_.get(),
                     action = std::move(action)] { action(*dispatcher); });
}

void TrafficThread::SetTable(std::shared_ptr<const routing::RouteTable> table) {
  asio::post(loop_, [this, table = std::move(table)] {
    dispatcher_->SetTable(table);
    if (!table->services.empty()) {
      server_->Open();
    }
    applied_offset_ = table->next.value;
  });
}

void TrafficThread::SetApplied(core::LogOffset next) {
  asio::post(loop_, [this, next] { applied_offset_ = next.value; });
}

core::LogOffset TrafficThread::applied_offset() const {
  return {applied_offset_};
}

void TrafficThread::StopAccepting() {
  asio::post(loop_, [this] { server_->StopAccepting(); });
}

int TrafficThread::unfinished_requests() const {
  return dispatcher_->open_requests() + server_->unwritten_responses();
}

}  // namespace camphormux::gateway
