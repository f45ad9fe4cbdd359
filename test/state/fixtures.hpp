#ifndef CAMPHORMUX_TEST_STATE_FIXTURES_HPP_
#define CAMPHORMUX_TEST_STATE_FIXTURES_HPP_

#include <string>

#include "camphormux/state/records.hpp"

namespace camphormux::state {

/// @brief A small valid operator text; `note` makes texts differ.
inline std::string ValidText(const std::string& note) {
  return "# " + note +
         "\n[deployment]\nname = t\nspare_pool = p\n[zone a]\nregion = r\n"
         "[service s]\npool = p\nmin_hosts = 1\n";
}

inline Publish WholeText(const std::string& id, std::uint64_t base,
                         const std::string& source) {
  return Publish{{id}, "ann", {base}, source, {}};
}

inline Assign Step(const std::string& host, HostPhase phase,
                   std::uint64_t generation, const std::string& pool = "p",
                   std::uint64_t epoch = 1) {
  Assign record;
  record.zone = {"a"};
  record.epoch = {epoch};
  record.host = {host};
  record.phase = phase;
  record.generation = {generation};
  if (phase != HostPhase::kReleased) {
    record.pool = core::PoolName{pool};
  }
  if (phase == HostPhase::kDraining) {
    record.drain_reason = DrainReason::kMove;
  }
  return record;
}

}  // namespace camphormux::state

#endif  // CAMPHORMUX_TEST_STATE_FIXTURES_HPP_
