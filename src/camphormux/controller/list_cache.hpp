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

/// @brief The platform's latest host list with the version it gave it. The
/// list is transferred whole once and then by its changes: whole lists of 5,000
/// hosts for 1,350 changes a day exceed what control may cost a node.
struct ListCache {
  std::string etag;  ///< Empty until there is a list.
  std::shared_ptr<const HostList> hosts;
};

/// @brief Makes the request for what the cache lacks.
/// @param cache The cache.
/// @param platform Address of the platform.
/// @return The request.
[[nodiscard]] http::ClientRequest MakeListRequest(
    const ListCache& cache, const core::Address& platform);

/// @brief Takes in the answer: a whole list, changes or 304.
/// @param cache The cache; changes that do not parse empty it.
/// @param result The answer to the latest request.
/// @return The list, the same object as before if it did not change; nothing if
/// the platform did not answer as specified.
[[nodiscard]] std::shared_ptr<const HostList> ApplyListResponse(
    ListCache& cache, const http::ClientResult& result);

/// @brief Parses the body of `GET /v1/hosts`.
/// @param body JSON.
/// @return The hosts, or nothing if the body is not as specified.
[[nodiscard]] std::optional<HostList> ParseHostList(std::string_view body);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_LIST_CACHE_HPP_
