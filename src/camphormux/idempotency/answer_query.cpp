#include "camphormux/idempotency/answer_query.hpp"

#include <algorithm>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::idempotency::internal {

using nlohmann::json;

// Longest wait for the end of a run that a query may ask for.
constexpr std::uint64_t kMaxWaitMs = 3'600'000;
constexpr std::size_t kMaxDataBytes = std::size_t{4} << 20;

std::string Encode(const AnswerQuery& query) {
  return cbor::Serialize(json::array(
      {json::binary({query.key.bytes.begin(), query.key.bytes.end()}),
       query.incarnation.value, query.number,
       static_cast<std::uint64_t>(query.wait.count())}));
}

std::optional<AnswerQuery> DecodeQuery(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader in(*value);
  AnswerQuery query;
  const std::string key = in.Bytes(query.key.bytes.size());
  query.incarnation.value = in.Unsigned();
  query.number = in.Unsigned();
  query.wait =
      core::Millis(static_cast<core::Millis::rep>(in.Unsigned(kMaxWaitMs)));
  if (!in.ok() || key.size() != query.key.bytes.size()) {
    return std::nullopt;
  }
  std::copy(key.begin(), key.end(), query.key.bytes.begin());
  return query;
}

std::string Encode(const AnswerReply& reply) {
  return cbor::Serialize(json::array(
      {static_cast<std::uint64_t>(reply.state), cbor::Bytes(reply.data)}));
}

std::optional<AnswerReply> DecodeReply(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader in(*value);
  AnswerReply reply;
  reply.state = static_cast<AnswerState>(
      in.Unsigned(static_cast<std::uint64_t>(AnswerState::kNeverRun)));
  reply.data = in.Bytes(kMaxDataBytes);
  return in.ok() ? std::optional(std::move(reply)) : std::nullopt;
}

}  // namespace camphormux::idempotency::internal
