#include "service.hpp"

#include <algorithm>
#include <utility>

#include "routes.hpp"

namespace camphormux::standin {
namespace internal {

using http::ServerResponse;
using nlohmann::json;

constexpr core::Millis kTickPeriod{200};
constexpr std::size_t kDefaultReadBytes = std::size_t{1} << 20;
constexpr core::Millis kMaxWait{30'000};

ServerResponse ReadResponse(const log::ReadResult& result) {
  json records = json::array();
  for (const log::StoredRecord& record : result.records) {
    records.push_back({{"offset", record.offset.value},
                       {"time_ms", static_cast<std::uint64_t>(
                                       record.time.time_since_epoch().count())},
                       {"data", json::binary(std::vector<std::uint8_t>(
                                    record.data.begin(), record.data.end()))}});
  }
  ServerResponse response;
  response.content_type = "application/cbor";
  json::to_cbor(json{{"earliest", result.earliest.value},
                     {"next", result.next.value},
                     {"records", std::move(records)}},
                response.body);
  return response;
}

}  // namespace internal

Service::Service(asio::io_context& loop, LogStore store, Fleet fleet,
                 std::optional<core::Address> endpoints, std::uint64_t seed)
    : loop_(loop),
      client_(loop),
      tick_(loop),
      store_(std::move(store)),
      fleet_(std::move(fleet)),
      endpoints_(std::move(endpoints)),
      random_(core::SeededRandom(seed)) {
  // The first snapshot is older than any lag, so that the host list is complete
  // from the start.
  RecordList(fleet_, core::MonotonicTime{});
  Tick();
}

void Service::Tick() {
  store_.ExpireBefore(core::WallNow() - store_.limits().retention);
  RecordUsage(fleet_, core::MonotonicNow());
  tick_.expires_after(internal::kTickPeriod);
  tick_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void Service::RunAfter(core::Millis delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(loop_);
  timer->expires_after(delay);
  timer->async_wait(
      [timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) {
          action();
        }
      });
}

void Service::Handle(const http::ServerRequest& request,
                     const http::Respond& respond) {
  const bool control = request.path.rfind("/control/", 0) == 0;
  if (control || faults_.delay.count() == 0) {
    Dispatch(request, respond);
    return;
  }
  Dispatch(request, [this, respond](http::ServerResponse response) {
    RunAfter(faults_.delay,
             [respond, response = std::move(response)] { respond(response); });
  });
}

void Service::Dispatch(const http::ServerRequest& request,
                       const http::Respond& respond) {
  const Path path = internal::SplitPath(request.path);
  if (path.size() >= 2 && path[0] == "control") {
    respond(HandleControl(path, internal::ParseBody(request.body)));
    return;
  }
  if (path.size() < 2 || path[0] != "v1") {
    respond(internal::NotFound("path " + request.path));
    return;
  }
  if (faults_.outage || (faults_.log_outage && path[1] == "streams")) {
    respond(internal::ErrorResponse(503, "unavailable", "the service is down"));
    return;
  }
  if (path[1] == "streams") {
    HandleStream(request, path, respond);
  } else if (path[1] == "hosts") {
    HandleHost(request, path, respond);
  } else if (path[1] == "usage") {
    const auto zone = request.query.find("zone");
    respond(
        zone == request.query.end()
            ? internal::ErrorResponse(400, "bad_request", "zone is missing")
            : internal::JsonResponse(200, LaggingUsage(fleet_, zone->second,
                                                       core::MonotonicNow())));
  } else {
    respond(internal::NotFound("path " + request.path));
  }
}

// Wraps the response to a change so that the injected faults can drop it.
http::Respond Service::WithResponseLoss(const http::Respond& respond) {
  return [this, respond](http::ServerResponse response) {
    if (faults_.lost_count > 0) {
      --faults_.lost_count;
      return;
    }
    if (core::UnitInterval(random_) < faults_.lost_probability) {
      return;
    }
    respond(std::move(response));
  };
}

void Service::HandleStream(const http::ServerRequest& request, const Path& path,
                           const http::Respond& respond) {
  if (path.size() != 4 || path[3] != "records") {
    respond(internal::NotFound("path " + request.path));
    return;
  }
  if (request.method == "POST") {
    Append(path[2], request.body, respond);
    return;
  }
  const core::Millis wait{internal::QueryNumber(request, "wait_ms", 0)};
  ReadOrWait(
      path[2], {internal::QueryNumber(request, "from", 0)},
      internal::QueryNumber(request, "max_bytes", internal::kDefaultReadBytes),
      core::MonotonicNow() + std::min(wait, internal::kMaxWait), respond);
}

void Service::Append(const std::string& stream, const std::string& body,
                     const http::Respond& respond) {
  if (body.size() > store_.limits().max_record_bytes) {
    respond(
        internal::ErrorResponse(413, "too_large", "record is above the limit"));
    return;
  }
  if (!store_.TryConsumeToken(core::MonotonicNow())) {
    respond(internal::ErrorResponse(429, "throttled", "too many appends"));
    return;
  }
  const core::LogOffset offset = store_.Append(stream, body, core::WallNow());
  WithResponseLoss(respond)(
      internal::JsonResponse(200, {{"offset", offset.value}}));
}

void Service::ReadOrWait(const std::string& stream, core::LogOffset from,
                         std::size_t max_bytes, core::MonotonicTime until,
                         const http::Respond& respond) {
  const log::ReadAnswer answer = store_.Read(stream, from, max_bytes);
  if (!answer.has_value()) {
    respond(internal::JsonResponse(
        410, {{"earliest", answer.error().earliest->value}}));
    return;
  }
  const core::MonotonicTime now = core::MonotonicNow();
  if (!answer.value().records.empty() || now >= until) {
    respond(internal::ReadResponse(answer.value()));
    return;
  }
  // The next append or the end of the wait triggers the response, whichever
  // comes first.
  auto open = std::make_shared<bool>(true);
  auto resume = [=, this] {
    if (std::exchange(*open, false)) {
      ReadOrWait(stream, from, max_bytes, until, respond);
    }
  };
  store_.OnAppend(stream, resume);
  RunAfter(until - now, resume);
}

}  // namespace camphormux::standin
