#include "camphormux/gateway/leaving_hosts_poller.hpp"

#include <utility>

#include <fmt/format.h>

#include "camphormux/telemetry/log.hpp"
#include "camphormux/telemetry/metrics.hpp"

namespace camphormux::gateway {
namespace internal {

/// A host must get no new requests 3 s after the first sign that it leaves. The
/// period and its jitter leave most of that time for the lag of the platform's
/// list. Reads overlap when the platform is slow: with a timeout of 800 ms, no
/// answer of a platform that took longer was ever used.
constexpr core::Millis kReadPeriod{900};
constexpr core::Millis kReadJitter{200};
constexpr core::Millis kReadTimeout{2500};
/// About 7,000 listed hosts; limits the memory that a faulty list can use.
constexpr std::size_t kMaxListBytes = std::size_t{1} << 20;
constexpr int kOk = 200;

}  // namespace internal

LeavingHostsPoller::LeavingHostsPoller(asio::io_context& loop,
                                       http::Client& client,
                                       const core::Address& platform,
                                       prometheus::Registry& registry,
                                       LeavingHostsPollerCallbacks callbacks,
                                       core::Random random)
    : client_(client),
      url_(fmt::format("http://{}:{}/v1/hosts?state=leaving", platform.ip,
                       platform.port)),
      callbacks_(std::move(callbacks)),
      random_(random),
      timer_(loop),
      listed_(telemetry::AddGauge(
          registry, "camphormux_gateway_leaving_hosts",
          "Hosts that get no new requests because the platform lists them.")),
      doubted_(telemetry::AddGauge(
          registry, "camphormux_gateway_doubted_leaving_hosts",
          "Hosts that a doubted list names as leaving.")),
      failures_(telemetry::AddCounter(
          registry, "camphormux_gateway_host_list_failures_total",
          "Reads of the list of leaving hosts without a usable answer.")),
      alive_(std::make_shared<LeavingHostsPoller*>(this)) {}

void LeavingHostsPoller::Start() { Read(); }

void LeavingHostsPoller::Read() {
  http::ClientRequest request;
  request.url = url_;
  request.timeout = internal::kReadTimeout;
  request.max_response_bytes = internal::kMaxListBytes;
  client_.Send(std::move(request),
               [weak = std::weak_ptr(alive_),
                read_number = ++last_read_](const http::ClientResult& result) {
                 if (const auto self = weak.lock()) {
                   (*self)->OnAnswer(read_number, result);
                 }
               });
  timer_.expires_after(internal::kReadPeriod +
                       core::Jitter(random_, internal::kReadJitter));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Read();
    }
  });
}

void LeavingHostsPoller::OnAnswer(std::uint64_t read_number,
                                  const http::ClientResult& result) {
  auto leaving_ids = result && result.value().status == internal::kOk
                         ? routing::ParseLeavingList(result.value().body)
                         : std::nullopt;
  if (!leaving_ids) {
    // The last list stays in effect: a host that was leaving still is.
    failures_.Increment();
    return;
  }
  if (read_number < last_answered_) {
    return;  // A newer list was already used.
  }
  last_answered_ = read_number;
  LogDoubts(routing::UpdateLeaving(list_, *leaving_ids, callbacks_.state(),
                                   core::MonotonicNow()));
  listed_.Set(static_cast<double>(list_.hosts.trusted.size()));
  doubted_.Set(static_cast<double>(list_.hosts.doubted.size()));
  callbacks_.publish(
      std::make_shared<const routing::LeavingHosts>(list_.hosts));
}

void LeavingHostsPoller::LogDoubts(const std::set<core::ZoneName>& zones) {
  for (const core::ZoneName& zone : zones) {
    if (!doubted_zones_.contains(zone)) {
      telemetry::Log(telemetry::Level::kWarning,
                     "the platform lists too many hosts of a zone as leaving "
                     "at once; the list is doubted",
                     {{"zone", zone.value},
                      {"hosts", std::to_string(list_.hosts.doubted.size())}});
    }
  }
  doubted_zones_ = zones;
}

}  // namespace camphormux::gateway
