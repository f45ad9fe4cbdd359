#ifndef CAMPHORMUX_HTTP_MESSAGE_HPP_
#define CAMPHORMUX_HTTP_MESSAGE_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace camphormux::http {

/// @brief One header line.
struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// @brief Compares header names without regard to case.
/// @param a A name.
/// @param b Another name.
/// @return Whether they name the same header.
[[nodiscard]] bool SameHeaderName(std::string_view a, std::string_view b);

/// @brief Finds a header; names compare without regard to case.
/// @param headers The headers.
/// @param name The name.
/// @return The first such header's value, or nullptr.
[[nodiscard]] const std::string* FindHeader(const Headers& headers,
                                            std::string_view name);

}  // namespace camphormux::http

#endif  // CAMPHORMUX_HTTP_MESSAGE_HPP_
