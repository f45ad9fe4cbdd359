#include "routes.hpp"

#include <algorithm>
#include <charconv>

namespace camphormux::standin::internal {

using http::ServerResponse;
using nlohmann::json;

ServerResponse JsonResponse(int status, const json& body) {
  return {status, body.dump(), "application/json", {}};
}

ServerResponse ErrorResponse(int status, const std::string& code,
                             const std::string& message) {
  ServerResponse response =
      JsonResponse(status, {{"code", code}, {"message", message}});
  if (status == 429 || status == 503) {
    response.headers.push_back({"Retry-After", "1"});
  }
  return response;
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start < path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::uint64_t QueryNumber(const http::ServerRequest& request, const char* key,
                          std::uint64_t fallback) {
  const auto it = request.query.find(key);
  if (it == request.query.end()) {
    return fallback;
  }
  std::uint64_t number = fallback;
  const std::string& text = it->second;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<std::uint64_t> BodyNumber(const json& body, const char* key) {
  if (!body.is_object() || !body.contains(key) ||
      !body[key].is_number_unsigned()) {
    return std::nullopt;
  }
  return body[key].get<std::uint64_t>();
}

std::string BodyText(const json& body, const char* key) {
  return body.is_object() && body.contains(key) && body[key].is_string()
             ? body[key].get<std::string>()
             : std::string();
}

bool BodyFlag(const json& body, const char* key, bool fallback) {
  return body.is_object() && body.contains(key) && body[key].is_boolean()
             ? body[key].get<bool>()
             : fallback;
}

json ParseBody(const std::string& body) {
  return json::parse(body, nullptr, /*allow_exceptions=*/false);
}

ServerResponse NotFound(const std::string& what) {
  return ErrorResponse(404, "not_found", what + " is not known");
}

}  // namespace camphormux::standin::internal
