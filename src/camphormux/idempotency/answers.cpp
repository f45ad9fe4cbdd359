#include "camphormux/idempotency/answers.hpp"

#include <utility>

#include "camphormux/cbor/cbor.hpp"

namespace camphormux::idempotency {
namespace internal {

constexpr std::size_t kMaxHeaders = 256;
constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;
constexpr std::uint64_t kMaxStatus = 999;

bool IsOldestExpired(const AnswerCache& cache, core::MonotonicTime now) {
  return !cache.order.empty() &&
         now - cache.items.at(cache.order.front()).stored > kKeyLifetime;
}

void DropOldest(AnswerCache& cache) {
  const auto oldest = cache.items.find(cache.order.front());
  cache.bytes -= oldest->second.data.size();
  cache.items.erase(oldest);
  cache.order.pop_front();
}

}  // namespace internal

std::string Encode(const StoredAnswer& answer) {
  using nlohmann::json;
  json headers = json::array();
  for (const http::Header& header : answer.headers) {
    headers.push_back(
        json::array({cbor::Bytes(header.name), cbor::Bytes(header.value)}));
  }
  return cbor::Serialize(
      json::array({static_cast<std::uint64_t>(answer.status),
                   std::move(headers), cbor::Bytes(answer.body)}));
}

std::optional<StoredAnswer> DecodeAnswer(std::string_view data) {
  const auto value = cbor::Parse(data);
  if (!value) {
    return std::nullopt;
  }
  cbor::ArrayReader in(*value);
  StoredAnswer answer;
  answer.status = static_cast<int>(in.Unsigned(internal::kMaxStatus));
  for (const auto& element : in.Array(internal::kMaxHeaders)) {
    cbor::ArrayReader header(element);
    std::string name = header.Bytes(internal::kMaxHeaderBytes);
    std::string text = header.Bytes(internal::kMaxHeaderBytes);
    if (!header.ok()) {
      return std::nullopt;
    }
    answer.headers.push_back({std::move(name), std::move(text)});
  }
  answer.body = in.Bytes(internal::kMaxBodyBytes);
  return in.ok() ? std::optional(std::move(answer)) : std::nullopt;
}

void Put(AnswerCache& cache, const Key& key, std::string data,
         core::MonotonicTime now) {
  while (internal::IsOldestExpired(cache, now)) {
    internal::DropOldest(cache);
  }
  if (data.size() > cache.max_answer_bytes || cache.items.contains(key)) {
    return;
  }
  cache.bytes += data.size();
  cache.items.emplace(key, AnswerCache::Item{std::move(data), now});
  cache.order.push_back(key);
  while (cache.bytes > cache.max_bytes) {
    internal::DropOldest(cache);
  }
}

const std::string* Find(const AnswerCache& cache, const Key& key) {
  const auto found = cache.items.find(key);
  return found == cache.items.end() ? nullptr : &found->second.data;
}

}  // namespace camphormux::idempotency
