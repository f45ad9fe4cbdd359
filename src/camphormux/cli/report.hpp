#ifndef CAMPHORMUX_CLI_REPORT_HPP_
#define CAMPHORMUX_CLI_REPORT_HPP_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "camphormux/text/check.hpp"
#include "camphormux/text/diff.hpp"

namespace camphormux::cli {

/// @brief Formats the findings of a check for JSON output.
/// @param findings The findings.
/// @return An array of objects with kind, key, found and expected.
[[nodiscard]] nlohmann::json FindingsJson(
    const std::vector<text::Finding>& findings);

/// @brief Formats the findings of a check, one per line.
/// @param file File name of the text.
/// @param findings The findings.
/// @return The lines.
[[nodiscard]] std::string FindingsText(
    const std::string& file, const std::vector<text::Finding>& findings);

/// @brief Formats the effects of a change for JSON output.
/// @param diff The effects.
/// @return An object with keys, pools, hosts_moved and under_budget.
[[nodiscard]] nlohmann::json EffectJson(const text::TextDiff& diff);

/// @brief Formats the effects of a change on hosts and services.
/// @param diff The effects.
/// @return The lines.
[[nodiscard]] std::string EffectText(const text::TextDiff& diff);

}  // namespace camphormux::cli

#endif  // CAMPHORMUX_CLI_REPORT_HPP_
