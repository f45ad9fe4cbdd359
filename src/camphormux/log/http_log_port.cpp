#include "camphormux/log/http_log_port.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::log {
namespace internal {

using nlohmann::json;

// Timeout of an append; for a read it is added to the read's wait.
constexpr core::Millis kAnswerTimeout = std::chrono::seconds(3);

std::string RecordsUrl(const core::Address& platform,
                       const std::string& stream) {
  const bool v6 = platform.ip.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + platform.ip + "]" : platform.ip;
  return "http://" + host + ":" + std::to_string(platform.port) +
         "/v1/streams/" + stream + "/records";
}

std::optional<std::uint64_t> ReadUnsigned(const json& map, const char* key) {
  if (!map.is_object() || !map.contains(key) ||
      !map[key].is_number_unsigned()) {
    return std::nullopt;
  }
  return map[key].get<std::uint64_t>();
}

AppendResult ToAppendResult(const http::ClientResult& answer) {
  if (!answer.has_value()) {
    return answer.error().sent ? AppendError::kNoAnswer
                               : AppendError::kUnavailable;
  }
  const http::ClientResponse& response = answer.value();
  switch (response.status) {
    case 200:
      break;
    case 413:
      return AppendError::kTooLarge;
    case 429:
      return AppendError::kThrottled;
    case 503:
      return AppendError::kUnavailable;
    default:
      return AppendError::kNoAnswer;
  }
  const auto offset = ReadUnsigned(
      json::parse(response.body, nullptr, /*allow_exceptions=*/false),
      "offset");
  if (!offset) {
    return AppendError::kNoAnswer;
  }
  return core::LogOffset{*offset};
}

std::optional<StoredRecord> ToStoredRecord(const json& map) {
  const auto offset = ReadUnsigned(map, "offset");
  const auto time = ReadUnsigned(map, "time_ms");
  if (!offset || !time || !map.contains("data") || !map["data"].is_binary()) {
    return std::nullopt;
  }
  const auto& bytes = map["data"].get_binary();
  return StoredRecord{{*offset},
                      core::WallTime{core::Millis{*time}},
                      std::string(bytes.begin(), bytes.end())};
}

ReadAnswer ParseRead(const std::string& body) {
  const json map = cbor::Parse(body).value_or(json());
  const auto earliest = ReadUnsigned(map, "earliest");
  const auto next = ReadUnsigned(map, "next");
  if (!earliest || !next || !map.contains("records") ||
      !map["records"].is_array()) {
    return ReadFailure{ReadError::kMalformed, std::nullopt};
  }
  ReadResult result{{*earliest}, {*next}, {}};
  for (const json& item : map["records"]) {
    auto record = ToStoredRecord(item);
    if (!record) {
      return ReadFailure{ReadError::kMalformed, std::nullopt};
    }
    result.records.push_back(std::move(*record));
  }
  return result;
}

ReadAnswer ToReadAnswer(const http::ClientResult& answer) {
  if (!answer.has_value()) {
    return ReadFailure{
        answer.error().sent ? ReadError::kNoAnswer : ReadError::kUnavailable,
        std::nullopt};
  }
  const http::ClientResponse& response = answer.value();
  if (response.status == 200) {
    return ParseRead(response.body);
  }
  if (response.status == 410) {
    const auto earliest = ReadUnsigned(
        json::parse(response.body, nullptr, /*allow_exceptions=*/false),
        "earliest");
    if (!earliest) {
      return ReadFailure{ReadError::kMalformed, std::nullopt};
    }
    return ReadFailure{ReadError::kBelowEarliest, core::LogOffset{*earliest}};
  }
  return ReadFailure{ReadError::kUnavailable, std::nullopt};
}

}  // namespace internal

LogPort MakeHttpLogPort(http::Client& client, const core::Address& platform) {
  LogPort port;
  port.append = [&client, platform](const std::string& stream, std::string data,
                                    std::function<void(AppendResult)> done) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = internal::RecordsUrl(platform, stream);
    request.headers = {{"Content-Type", "application/cbor"}};
    request.body = std::move(data);
    request.timeout = internal::kAnswerTimeout;
    client.Send(std::move(request),
                [done = std::move(done)](const http::ClientResult& answer) {
                  done(internal::ToAppendResult(answer));
                });
  };
  port.read = [&client, platform](const std::string& stream,
                                  core::LogOffset from, std::size_t max_bytes,
                                  core::Millis wait,
                                  std::function<void(ReadAnswer)> done) {
    http::ClientRequest request;
    request.url = internal::RecordsUrl(platform, stream) +
                  "?from=" + std::to_string(from.value) +
                  "&max_bytes=" + std::to_string(max_bytes) +
                  "&wait_ms=" + std::to_string(wait.count());
    request.timeout = wait + internal::kAnswerTimeout;
    client.Send(std::move(request),
                [done = std::move(done)](const http::ClientResult& answer) {
                  done(internal::ToReadAnswer(answer));
                });
  };
  return port;
}

}  // namespace camphormux::log
