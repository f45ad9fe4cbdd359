#ifndef CAMPHORMUX_TEST_PLATFORM_STANDIN_ROUTES_HPP_
#define CAMPHORMUX_TEST_PLATFORM_STANDIN_ROUTES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "camphormux/http/server.hpp"

/// Request and response helpers of the HTTP routes. The `Body...` functions
/// return nothing, an empty string or the fallback if the key is missing or
/// has another type.
namespace camphormux::standin::internal {

[[nodiscard]] http::ServerResponse JsonResponse(int status,
                                                const nlohmann::json& body);
[[nodiscard]] http::ServerResponse ErrorResponse(int status,
                                                 const std::string& code,
                                                 const std::string& message);
[[nodiscard]] http::ServerResponse NotFound(const std::string& what);
[[nodiscard]] std::vector<std::string> SplitPath(const std::string& path);
[[nodiscard]] std::uint64_t QueryNumber(const http::ServerRequest& request,
                                        const char* key,
                                        std::uint64_t fallback);
[[nodiscard]] nlohmann::json ParseBody(const std::string& body);
[[nodiscard]] std::optional<std::uint64_t> BodyNumber(
    const nlohmann::json& body, const char* key);
[[nodiscard]] std::string BodyText(const nlohmann::json& body, const char* key);
[[nodiscard]] bool BodyFlag(const nlohmann::json& body, const char* key,
                            bool fallback);

}  // namespace camphormux::standin::internal

#endif  // CAMPHORMUX_TEST_PLATFORM_STANDIN_ROUTES_HPP_
