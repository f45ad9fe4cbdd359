#ifndef CAMPHORMUX_GATEWAY_STATUS_TEXT_HPP_
#define CAMPHORMUX_GATEWAY_STATUS_TEXT_HPP_

#include <string>

namespace camphormux::gateway {

/// @brief Returns the reason phrase of an HTTP status.
/// @param status The status.
/// @return The standard phrase, or "Status" for codes without one.
[[nodiscard]] inline std::string StatusText(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace camphormux::gateway

#endif  // CAMPHORMUX_GATEWAY_STATUS_TEXT_HPP_
