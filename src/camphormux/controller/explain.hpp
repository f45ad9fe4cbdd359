#ifndef CAMPHORMUX_CONTROLLER_EXPLAIN_HPP_
#define CAMPHORMUX_CONTROLLER_EXPLAIN_HPP_

#include <optional>
#include <string>
#include <vector>

#include "camphormux/controller/status.hpp"

namespace camphormux::controller {

/// @brief A named figure of an explanation.
struct Figure {
  std::string name;
  std::string value;

  friend bool operator==(const Figure&, const Figure&) = default;
};

/// @brief Why something is as it is.
struct Explanation {
  std::string subject;     ///< "service venue".
  std::string constraint;  ///< The rule that decides.
  std::vector<Figure> figures;
  core::Revision revision;  ///< Text that the rule comes from.
};

/// @brief Explains the size of a service's pool.
/// @param input What the controller knows.
/// @param service The service.
/// @return The explanation, or nothing if the text has no such service.
[[nodiscard]] std::optional<Explanation> ExplainService(
    const StatusInput& input, const core::ServiceName& service);

/// @brief Explains a host's pool and phase, and what its next phase waits for.
/// @param input What the controller knows.
/// @param host The host.
/// @return The explanation, or nothing if the state has no such host.
[[nodiscard]] std::optional<Explanation> ExplainHost(const StatusInput& input,
                                                     const core::HostId& host);

/// @brief Formats an explanation for people.
/// @param explanation The explanation.
/// @return Lines.
[[nodiscard]] std::string ExplanationText(const Explanation& explanation);

/// @brief Formats an explanation for scripts.
/// @param explanation The explanation.
/// @return JSON.
[[nodiscard]] std::string ExplanationJson(const Explanation& explanation);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_EXPLAIN_HPP_
