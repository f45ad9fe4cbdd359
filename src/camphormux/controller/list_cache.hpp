#ifndef CAMPHORMUX_CONTROLLER_LIST_CACHE_HPP_
#define CAMPHORMUX_CONTROLLER_LIST_CACHE_HPP_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/controller/observation.hpp"
#include "camphormux/core/units.hpp"
#include "camphormux/http/client.hpp"

namespace camphormux::controller {

using HostList = std::map<core::HostId, ListedHost>;

/// @brief The platform's latest host list and its version (entity tag). The
/// list is transferred in full once and then as changes: full lists of 5,000
/// hosts for 1,350 changes a day would exceed the control traffic that a node
/// may use.
struct ListCache {
  std::string etag;  ///< Empty until a list was received.
  std::shared_ptr<const HostList> hosts;
};

/// @brief Makes the request for the full list, or for the changes since the
/// cached version.
/// @param cache The cache.
/// @param platform Address of the platform.
/// @return The request.
[[nodiscard]] http::ClientRequest MakeListRequest(
    const ListCache& cache, const core::Address& platform);

/// @brief Applies a response to the cache: a full list, changes or status 304.
/// @param cache The cache; cleared if the body cannot be parsed.
/// @param result Result of the latest request.
/// @return The list, the same object as before if it is unchanged; nullptr if
/// the response is not as specified.
[[nodiscard]] std::shared_ptr<const HostList> ApplyListResponse(
    ListCache& cache, const http::ClientResult& result);

/// @brief Parses the body of `GET /v1/hosts`.
/// @param body JSON.
/// @return The hosts, or nothing if the body is not as specified.
[[nodiscard]] std::optional<HostList> ParseHostList(std::string_view body);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LIST_CACHE_HPP_
