#include "camphormux/coordinator/host_calls.hpp"

#include <map>
#include <utility>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::coordinator {
namespace internal {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 1024;
constexpr std::size_t kMaxPayloadBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxAnswers = 1U << 16U;
constexpr std::uint64_t kMaxUint32 = UINT32_MAX;

enum class HostCallKind : std::uint8_t { kStart, kStop, kPace, kRenew };

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

/// Clocks of hosts count up from 0 at their start. A reading is encoded plus 1,
/// and 0 stands for a missing reading.
std::uint64_t EncodeClock(const std::optional<std::int64_t>& clock) {
  return clock ? static_cast<std::uint64_t>(*clock) + 1 : 0;
}

std::optional<std::int64_t> DecodeClock(std::uint64_t value) {
  return value == 0 ? std::nullopt
                    : std::optional(static_cast<std::int64_t>(value - 1));
}

void AddName(json& row, const scheduler::RunName& name) {
  row.push_back(name.job.value);
  row.push_back(name.place.occurrence);
  row.push_back(name.place.step);
  row.push_back(name.place.index);
  row.push_back(name.attempt);
}

std::uint32_t ReadUint32(cbor::ArrayReader& reader) {
  return static_cast<std::uint32_t>(reader.Unsigned(kMaxUint32));
}

scheduler::RunName ReadName(cbor::ArrayReader& reader) {
  scheduler::RunName name;
  name.job.value = reader.Text(kMaxNameBytes);
  name.place.occurrence = ReadUint32(reader);
  name.place.step = ReadUint32(reader);
  name.place.index = ReadUint32(reader);
  name.attempt = ReadUint32(reader);
  return name;
}

void AddTarget(json& row, const HostTarget& target) {
  row.push_back(target.host.value);
  row.push_back(target.incarnation.value);
  row.push_back(target.address.ip);
  row.push_back(target.address.port);
}

HostTarget ReadTarget(cbor::ArrayReader& reader, core::Epoch token) {
  HostTarget target;
  target.host.value = reader.Text(kMaxNameBytes);
  target.incarnation.value = reader.Unsigned();
  target.address.ip = reader.Text(kMaxNameBytes);
  target.address.port = static_cast<std::uint16_t>(reader.Unsigned(UINT16_MAX));
  target.token = token;
  return target;
}

/// Payloads of a batch. Each is encoded once because the tasks of a job share
/// their payload.
struct Payloads {
  json list = json::array();
  std::map<std::string_view, std::size_t> known;
};

std::size_t Add(Payloads& payloads, const std::string& payload) {
  const auto [found, added] =
      payloads.known.try_emplace(payload, payloads.list.size());
  if (added) {
    payloads.list.push_back(cbor::Bytes(payload));
  }
  return found->second;
}

json EncodeCall(const NumberedCall& entry, Payloads& payloads) {
  json row = json::array();
  row.push_back(entry.number);
  row.push_back(entry.call.index());
  AddTarget(row, TargetOf(entry.call));
  std::visit(Overloaded{[&](const StartCall& call) {
                          AddName(row, call.name);
                          row.push_back(Add(payloads, call.payload));
                          row.push_back(call.checkpoint);
                          row.push_back(EncodeClock(call.lease_end_ms));
                        },
                        [&](const StopCall& call) { AddName(row, call.name); },
                        [&](const PaceCall& call) {
                          AddName(row, call.name);
                          row.push_back(call.percent);
                        },
                        [&](const RenewCall& call) {
                          row.push_back(call.acknowledged.value);
                          row.push_back(EncodeClock(call.lease_end_ms));
                          row.push_back(call.wait.count());
                        }},
             entry.call);
  return row;
}

std::optional<HostCall> ReadCall(cbor::ArrayReader& reader, core::Epoch token,
                                 const std::vector<std::string>& payloads) {
  const auto kind = static_cast<HostCallKind>(
      reader.Unsigned(static_cast<std::uint64_t>(HostCallKind::kRenew)));
  const HostTarget target = ReadTarget(reader, token);
  switch (kind) {
    case HostCallKind::kStart: {
      StartCall call;
      call.target = target;
      call.name = ReadName(reader);
      const std::uint64_t payload = reader.Unsigned();
      call.checkpoint = reader.Text(kMaxPayloadBytes);
      const auto lease_end = DecodeClock(reader.Unsigned());
      if (!reader.ok() || payload >= payloads.size() || !lease_end) {
        return std::nullopt;
      }
      call.payload = payloads[payload];
      call.lease_end_ms = *lease_end;
      return call;
    }
    case HostCallKind::kStop:
      return StopCall{target, ReadName(reader)};
    case HostCallKind::kPace: {
      PaceCall call{target, ReadName(reader)};
      call.percent = static_cast<int>(reader.Unsigned(100));
      return call;
    }
    case HostCallKind::kRenew: {
      RenewCall call;
      call.target = target;
      call.acknowledged.value = reader.Unsigned();
      call.lease_end_ms = DecodeClock(reader.Unsigned());
      call.wait = core::Millis(ReadUint32(reader));
      return call;
    }
  }
  return std::nullopt;
}

json EncodeAnswer(const NumberedAnswer& entry) {
  json row = json::array();
  row.push_back(entry.number);
  row.push_back(entry.answer.index());
  std::visit(
      Overloaded{[&](const StartAnswer& answer) {
                   row.push_back(answer.outcome);
                   row.push_back(EncodeClock(answer.clock_ms));
                 },
                 [&](CallOutcome outcome) { row.push_back(outcome); },
                 [&](const RenewAnswer& answer) {
                   row.push_back(answer.outcome);
                   row.push_back(EncodeClock(answer.clock_ms));
                   json running = json::array();
                   for (const scheduler::ReportedRun& run : answer.running) {
                     AddName(running, run.name);
                     running.push_back(run.checkpoint);
                     running.push_back(run.percent);
                     running.push_back(std::max<std::int64_t>(0, run.load));
                   }
                   json ended = json::array();
                   for (const scheduler::ReportedEnd& end : answer.ended) {
                     ended.push_back(end.number.value);
                     AddName(ended, end.name);
                     ended.push_back(end.kind);
                     ended.push_back(end.checkpoint);
                   }
                   row.push_back(std::move(running));
                   row.push_back(std::move(ended));
                   row.push_back(answer.incarnation.value);
                   row.push_back(answer.is_partial ? 1 : 0);
                 }},
      entry.answer);
  return row;
}

/// Array elements per run and per end in an encoded renewal answer.
constexpr std::size_t kRunFields = 8;
constexpr std::size_t kEndFields = 8;

RenewAnswer ReadRenewAnswer(cbor::ArrayReader& reader) {
  RenewAnswer answer;
  answer.outcome = static_cast<CallOutcome>(
      reader.Unsigned(static_cast<std::uint64_t>(CallOutcome::kNoAnswer)));
  answer.clock_ms = DecodeClock(reader.Unsigned()).value_or(0);
  const json& running = reader.Array(kMaxAnswers);
  const json& ended = reader.Array(kMaxAnswers);
  if (!reader.ok()) {
    return answer;
  }
  cbor::ArrayReader runs(running);
  answer.running.reserve(running.size() / kRunFields);
  for (std::size_t i = 0; i + kRunFields <= running.size(); i += kRunFields) {
    scheduler::ReportedRun& run = answer.running.emplace_back();
    run.name = ReadName(runs);
    run.checkpoint = runs.Text(kMaxPayloadBytes);
    run.percent = static_cast<int>(ReadUint32(runs));
    run.load = static_cast<std::int64_t>(runs.Unsigned());
  }
  cbor::ArrayReader ends(ended);
  answer.ended.reserve(ended.size() / kEndFields);
  for (std::size_t i = 0; i + kEndFields <= ended.size(); i += kEndFields) {
    scheduler::ReportedEnd& end = answer.ended.emplace_back();
    end.number.value = ends.Unsigned();
    end.name = ReadName(ends);
    end.kind = static_cast<scheduler::EndKind>(
        ends.Unsigned(static_cast<std::uint64_t>(scheduler::EndKind::kAlone)));
    end.checkpoint = ends.Text(kMaxPayloadBytes);
  }
  // Absent in answers of earlier versions.
  answer.incarnation.value = reader.has_more() ? reader.Unsigned() : 0;
  answer.is_partial = reader.has_more() && reader.Unsigned() != 0;
  if (!runs.ok() || !ends.ok()) {
    // An incomplete list would mean that the missing runs are gone.
    return RenewAnswer{};
  }
  return answer;
}

std::optional<HostAnswer> ReadAnswer(cbor::ArrayReader& reader) {
  switch (reader.Unsigned(2)) {
    case 0: {
      StartAnswer answer;
      answer.outcome = static_cast<scheduler::StartOutcome>(reader.Unsigned(
          static_cast<std::uint64_t>(scheduler::StartOutcome::kNoAnswer)));
      answer.clock_ms = DecodeClock(reader.Unsigned());
      return reader.ok() ? std::optional<HostAnswer>(answer) : std::nullopt;
    }
    case 1: {
      const auto outcome = static_cast<CallOutcome>(
          reader.Unsigned(static_cast<std::uint64_t>(CallOutcome::kNoAnswer)));
      return reader.ok() ? std::optional<HostAnswer>(outcome) : std::nullopt;
    }
    default: {
      RenewAnswer answer = ReadRenewAnswer(reader);
      return reader.ok() ? std::optional<HostAnswer>(std::move(answer))
                         : std::nullopt;
    }
  }
}

}  // namespace internal

std::string_view Describe(scheduler::StartOutcome outcome) {
  using scheduler::StartOutcome;
  switch (outcome) {
    case StartOutcome::kStarted:
      return "started";
    case StartOutcome::kNoCapacity:
      return "no capacity";
    case StartOutcome::kStaleAttempt:
      return "stale attempt";
    case StartOutcome::kLeaseExpired:
      return "lease expired";
    case StartOutcome::kFenced:
      return "fenced";
    case StartOutcome::kNoTicket:
      return "no ticket";
    case StartOutcome::kHostRestarted:
      return "host restarted";
    case StartOutcome::kUnhealthy:
      return "host unhealthy";
    case StartOutcome::kBadRequest:
      return "bad request";
    case StartOutcome::kNoAnswer:
      return "no answer";
    case StartOutcome::kSuperseded:
      return "superseded";
  }
  return "unknown";
}

std::string_view Describe(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kFenced:
      return "fenced";
    case CallOutcome::kHostRestarted:
      return "host restarted";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kNoAnswer:
      return "no answer";
  }
  return "unknown";
}

const HostTarget& TargetOf(const HostCall& call) {
  return std::visit(
      [](const auto& alternative) -> const HostTarget& {
        return alternative.target;
      },
      call);
}

HostAnswer NoAnswerTo(const HostCall& call) {
  if (std::holds_alternative<StartCall>(call)) {
    return StartAnswer{};
  }
  if (std::holds_alternative<RenewCall>(call)) {
    return RenewAnswer{};
  }
  return CallOutcome::kNoAnswer;
}

void MakeCall(const HostPort& port, const HostCall& call,
              std::function<void(HostAnswer)> done) {
  std::visit(internal::Overloaded{
                 [&](const StartCall& start) { port.start(start, done); },
                 [&](const StopCall& stop) {
                   port.stop(stop.target, stop.name, done);
                 },
                 [&](const PaceCall& pace) {
                   port.pace(pace.target, pace.name, pace.percent, done);
                 },
                 [&](const RenewCall& renew) { port.renew(renew, done); }},
             call);
}

std::string EncodeCalls(const CallBatch& batch) {
  internal::Payloads payloads;
  internal::json calls = internal::json::array();
  for (const NumberedCall& call : batch.calls) {
    calls.push_back(internal::EncodeCall(call, payloads));
  }
  return cbor::Serialize(
      internal::json::array({batch.holder, batch.token.value,
                             std::move(payloads.list), std::move(calls)}));
}

std::optional<CallBatch> DecodeCalls(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader reader(*value);
  CallBatch batch;
  batch.holder = reader.Text(internal::kMaxNameBytes);
  batch.token.value = reader.Unsigned();
  const internal::json& texts = reader.Array(kMaxCallsPerBatch);
  const internal::json& calls = reader.Array(kMaxCallsPerBatch);
  if (!reader.ok()) {
    return std::nullopt;
  }
  std::vector<std::string> payloads;
  cbor::ArrayReader payload_reader(texts);
  for (std::size_t i = 0; i < texts.size(); ++i) {
    payloads.push_back(payload_reader.Bytes(internal::kMaxPayloadBytes));
  }
  for (const internal::json& row : calls) {
    cbor::ArrayReader fields(row);
    NumberedCall entry;
    entry.number = fields.Unsigned();
    auto call = internal::ReadCall(fields, batch.token, payloads);
    if (!call || !fields.ok()) {
      return std::nullopt;
    }
    entry.call = *std::move(call);
    batch.calls.push_back(std::move(entry));
  }
  return payload_reader.ok() ? std::optional(std::move(batch)) : std::nullopt;
}

std::string EncodeAnswers(const std::vector<NumberedAnswer>& answers) {
  internal::json rows = internal::json::array();
  for (const NumberedAnswer& answer : answers) {
    rows.push_back(internal::EncodeAnswer(answer));
  }
  return cbor::Serialize(rows);
}

std::optional<std::vector<NumberedAnswer>> DecodeAnswers(
    std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value || !value->is_array() || value->size() > internal::kMaxAnswers) {
    return std::nullopt;
  }
  std::vector<NumberedAnswer> answers;
  answers.reserve(value->size());
  for (const internal::json& row : *value) {
    cbor::ArrayReader reader(row);
    NumberedAnswer entry;
    entry.number = reader.Unsigned();
    auto answer = internal::ReadAnswer(reader);
    if (!answer) {
      return std::nullopt;
    }
    entry.answer = *std::move(answer);
    answers.push_back(std::move(entry));
  }
  return answers;
}

}  // namespace camphormux::coordinator
