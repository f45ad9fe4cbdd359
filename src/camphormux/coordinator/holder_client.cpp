#include "camphormux/coordinator/holder_client.hpp"

#include <utility>

#include "camphormux/cbor/cbor.hpp"
#include "camphormux/workload/codec.hpp"

namespace camphormux::coordinator {
namespace internal {

using nlohmann::json;

constexpr std::string_view kSubmitPath = "/jobs/submit";
constexpr std::string_view kStatePath = "/jobs/state";
constexpr std::string_view kCancelPath = "/jobs/cancel";
constexpr std::string_view kPendingPath = "/queues/pending";
constexpr std::string_view kPingPath = "/ping";
constexpr std::size_t kMaxNameBytes = 1024;
constexpr std::uint64_t kMaxRetryAfterMs = 3'600'000;

core::Address WithoutPort(const std::string& ip) { return {ip, 0}; }

peer::ClientOptions Options(const std::string& source_ip) {
  peer::ClientOptions options;
  options.connect_timeout = core::Millis(500);
  options.probe_timeout = core::Millis(500);
  options.backoff = {core::Millis(50), core::Millis(400)};
  options.source_ip = WithoutPort(source_ip).ip;
  return options;
}

std::string Encode(const std::string& name) {
  return cbor::Serialize(json::array({name}));
}

/// Encodes a job and on whose behalf it is asked for.
std::string Encode(const core::JobId& id, const workload::Caller& caller) {
  json value = json::array({id.value});
  if (caller.account) {
    value.push_back(caller.account->value);
  }
  return cbor::Serialize(value);
}

/// Reads the two numbers of an answer; empty if there is no valid answer.
std::optional<std::pair<std::uint64_t, std::uint64_t>> Numbers(
    const peer::Result& result) {
  if (!result || result.value().status != peer::kStatusOk) {
    return std::nullopt;
  }
  const auto value = cbor::Parse(result.value().body);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*value);
  const std::uint64_t first = reader.Unsigned();
  const std::uint64_t second = reader.Unsigned();
  if (!reader.ok()) {
    return std::nullopt;
  }
  return std::make_pair(first, second);
}

/// Reads the reason of a refusal, which nodes of earlier versions do not tell.
scheduler::RefusalReason ReasonIn(const std::string& body) {
  const auto value = cbor::Parse(body);
  if (!value) {
    return scheduler::RefusalReason::kNone;
  }
  cbor::ArrayReader reader(*value);
  (void)reader.Unsigned();
  (void)reader.Unsigned();
  return static_cast<scheduler::RefusalReason>(reader.Unsigned(
      static_cast<std::uint64_t>(scheduler::RefusalReason::kIdInUse)));
}

peer::Response Reply(std::uint64_t first, std::uint64_t second) {
  return {peer::kStatusOk, cbor::Serialize(json::array({first, second}))};
}

/// A job and on whose behalf it is asked for.
struct JobQuery {
  core::JobId id;
  workload::Caller caller;
};

JobQuery JobQueryIn(const peer::Request& request) {
  JobQuery query;
  const auto value = cbor::Parse(request.body);
  if (!value) {
    return query;
  }
  cbor::ArrayReader reader(*value);
  query.id.value = reader.Text(kMaxNameBytes);
  // Nodes of earlier versions do not send the account.
  if (reader.has_more()) {
    query.caller.account = workload::AccountName{reader.Text(kMaxNameBytes)};
  }
  return query;
}

std::string NameIn(const peer::Request& request) {
  const auto value = cbor::Parse(request.body);
  if (!value) {
    return "";
  }
  cbor::ArrayReader reader(*value);
  return reader.Text(kMaxNameBytes);
}

void AnswerSubmit(const std::shared_ptr<Holder>& holder,
                  const peer::Request& request, const peer::Respond& respond) {
  auto spec = workload::DecodeSpec(request.body);
  if (!spec) {
    respond({peer::kStatusBadRequest, ""});
    return;
  }
  holder->Submit(*std::move(spec), [respond](SubmitAnswer answer) {
    json value =
        json::array({static_cast<std::uint64_t>(answer.outcome),
                     static_cast<std::uint64_t>(answer.retry_after.count())});
    if (answer.reason != scheduler::RefusalReason::kNone) {
      value.push_back(static_cast<std::uint64_t>(answer.reason));
    }
    respond({peer::kStatusOk, cbor::Serialize(value)});
  });
}

}  // namespace internal

HolderClient::HolderClient(asio::io_context& loop, std::string source_ip)
    : loop_(loop), source_ip_(std::move(source_ip)) {}

void HolderClient::SetHolder(const std::optional<core::Address>& holder) {
  if (holder == holder_) {
    return;
  }
  holder_ = holder;
  client_.reset();
  if (holder) {
    client_ = std::make_shared<peer::Client>(loop_, *holder,
                                             internal::Options(source_ip_));
  }
}

void HolderClient::Submit(const workload::JobSpec& spec, core::Millis timeout,
                          std::function<void(SubmitAnswer)> done) {
  client_->Send(
      {std::string(internal::kSubmitPath), workload::EncodeSpec(spec)}, timeout,
      [client = client_, done = std::move(done)](const peer::Result& result) {
        if (!result) {
          done({result.error().may_have_reached ? SubmitOutcome::kUnknown
                                                : SubmitOutcome::kUnavailable});
          return;
        }
        if (peer::IsRejection(result.value().status)) {
          done({SubmitOutcome::kUnavailable});
          return;
        }
        // An answer that cannot be read does not tell that nothing was stored.
        const auto numbers = internal::Numbers(result);
        if (!numbers ||
            numbers->first >
                static_cast<std::uint64_t>(SubmitOutcome::kUnknown) ||
            numbers->second > internal::kMaxRetryAfterMs) {
          done({SubmitOutcome::kUnknown});
          return;
        }
        done({static_cast<SubmitOutcome>(numbers->first),
              core::Millis(static_cast<std::int64_t>(numbers->second)),
              internal::ReasonIn(result.value().body)});
      });
}

void HolderClient::State(const core::JobId& id, const workload::Caller& caller,
                         core::Millis timeout,
                         std::function<void(StateAnswer)> done) {
  client_->Send(
      {std::string(internal::kStatePath), internal::Encode(id, caller)},
      timeout,
      [client = client_, done = std::move(done)](const peer::Result& result) {
        const auto numbers = internal::Numbers(result);
        if (!numbers) {
          done({QueryOutcome::kUnavailable});
          return;
        }
        done({numbers->first == 1 ? QueryOutcome::kKnown : QueryOutcome::kNone,
              static_cast<workload::JobState>(numbers->second)});
      });
}

void HolderClient::Cancel(const core::JobId& id, const workload::Caller& caller,
                          core::Millis timeout,
                          std::function<void(QueryOutcome)> done) {
  client_->Send(
      {std::string(internal::kCancelPath), internal::Encode(id, caller)},
      timeout,
      [client = client_, done = std::move(done)](const peer::Result& result) {
        const auto numbers = internal::Numbers(result);
        if (!numbers) {
          done(QueryOutcome::kUnavailable);
          return;
        }
        done(numbers->first == 1 ? QueryOutcome::kKnown : QueryOutcome::kNone);
      });
}

void HolderClient::Pending(const workload::QueueName& queue,
                           core::Millis timeout,
                           std::function<void(CountAnswer)> done) {
  client_->Send(
      {std::string(internal::kPendingPath), internal::Encode(queue.value)},
      timeout,
      [client = client_, done = std::move(done)](const peer::Result& result) {
        const auto numbers = internal::Numbers(result);
        if (!numbers) {
          done({QueryOutcome::kUnavailable});
          return;
        }
        done({QueryOutcome::kKnown, numbers->second});
      });
}

void HolderClient::Ping(core::Millis timeout, std::function<void(bool)> done) {
  client_->Send(
      {std::string(internal::kPingPath), ""}, timeout,
      [client = client_, done = std::move(done)](const peer::Result& result) {
        done(result && result.value().status == peer::kStatusOk);
      });
}

void ServeHolderRequest(const std::shared_ptr<Holder>& holder,
                        const peer::Request& request,
                        const peer::Respond& respond) {
  if (!holder || !holder->is_ready()) {
    respond({peer::kStatusUnavailable, ""});
  } else if (request.path == internal::kSubmitPath) {
    internal::AnswerSubmit(holder, request, respond);
  } else if (request.path == internal::kStatePath) {
    const internal::JobQuery query = internal::JobQueryIn(request);
    const StateAnswer answer = holder->StateOf(query.id, query.caller);
    respond(
        answer.outcome == QueryOutcome::kUnavailable
            ? peer::Response{peer::kStatusUnavailable, ""}
            : internal::Reply(answer.outcome == QueryOutcome::kKnown ? 1 : 0,
                              static_cast<std::uint64_t>(answer.state)));
  } else if (request.path == internal::kCancelPath) {
    const internal::JobQuery query = internal::JobQueryIn(request);
    holder->Cancel(query.id, query.caller,
                   [respond](std::optional<bool> known) {
                     if (known) {
                       respond(internal::Reply(*known ? 1 : 0, 0));
                     } else {
                       respond({peer::kStatusUnavailable, ""});
                     }
                   });
  } else if (request.path == internal::kPendingPath) {
    const CountAnswer answer = holder->Pending({internal::NameIn(request)});
    respond(answer.outcome == QueryOutcome::kKnown
                ? internal::Reply(1, answer.count)
                : peer::Response{peer::kStatusUnavailable, ""});
  } else if (request.path == internal::kPingPath) {
    respond({peer::kStatusOk, ""});
  } else {
    respond({peer::kStatusNotFound, ""});
  }
}

}  // namespace camphormux::coordinator
