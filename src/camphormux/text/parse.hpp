#ifndef CAMPHORMUX_TEXT_PARSE_HPP_
#define CAMPHORMUX_TEXT_PARSE_HPP_

#include <string>
#include <string_view>

#include "camphormux/core/result.hpp"
#include "camphormux/settings/ini.hpp"
#include "camphormux/text/operator_text.hpp"

namespace camphormux::text {

/// @brief Parses an operator text and checks all that the text alone decides.
/// @param name File name for messages.
/// @param source The text.
/// @return The configuration, or all problems.
[[nodiscard]] core::Result<OperatorText, settings::Problems> ParseOperatorText(
    std::string name, std::string_view source);

/// @brief Tells whether a request must not run more than once.
/// @param service The service that is called.
/// @param method Request method in upper case.
/// @param path Path below the service's name, with a leading slash.
/// @return Whether the text declares the request non-repeatable.
[[nodiscard]] bool IsNonRepeatable(const Service& service,
                                   std::string_view method,
                                   std::string_view path);

}  // namespace camphormux::text

#endif  // CAMPHORMUX_TEXT_PARSE_HPP_
