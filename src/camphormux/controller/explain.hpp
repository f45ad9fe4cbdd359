#ifndef CAMPHORMUX_CONTROLLER_EXPLAIN_HPP_
#define CAMPHORMUX_CONTROLLER_EXPLAIN_HPP_

#include <optional>
#include <string>
#include <vector>

#include "camphormux/controller/status.hpp"

namespace camphormux::controller {

/// @brief A named value of an explanation.
struct Figure {
  std::string name;
  std::string value;

  friend bool operator==(const Figure&, const Figure&) = default;
};

/// @brief Explanation of the present state of a service, host or job.
struct Explanation {
  std::string subject;     ///< "service venue".
  std::string constraint;  ///< The rule or condition that decides.
  std::vector<Figure> figures;
  core::Revision revision;  ///< Operator text with the rule.
};

/// @brief Explains the size of a service's pool.
/// @param input Current data of the controller.
/// @param service The service.
/// @return The explanation, or nothing if the operator text has no such
/// service.
[[nodiscard]] std::optional<Explanation> ExplainService(
    const StatusInput& input, const core::ServiceName& service);

/// @brief Explains a host's pool and phase, and what the host needs to reach
/// its next phase.
/// @param input Current data of the controller.
/// @param host The host.
/// @return The explanation, or nothing if the state has no such host.
[[nodiscard]] std::optional<Explanation> ExplainHost(const StatusInput& input,
                                                     const core::HostId& host);

/// @brief Formats an explanation as text.
/// @param explanation The explanation.
/// @return Text with one value a line.
[[nodiscard]] std::string ExplanationText(const Explanation& explanation);

/// @brief Formats an explanation as JSON.
/// @param explanation The explanation.
/// @return JSON.
[[nodiscard]] std::string ExplanationJson(const Explanation& explanation);

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_EXPLAIN_HPP_
