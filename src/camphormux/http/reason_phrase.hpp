#ifndef CAMPHORMUX_HTTP_REASON_PHRASE_HPP_
#define CAMPHORMUX_HTTP_REASON_PHRASE_HPP_

#include <string>

namespace camphormux::http {

/// @brief Returns the reason phrase of a status code (RFC 9110, section 15).
/// @param status The status code.
/// @return The standard phrase, or "Status" for codes that are not in use here.
[[nodiscard]] std::string ReasonPhrase(int status);

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_REASON_PHRASE_HPP_
