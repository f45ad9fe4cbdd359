#ifndef CAMPHORMUX_TEST_ENDPOINT_STANDIN_HOST_HPP_
#define CAMPHORMUX_TEST_ENDPOINT_STANDIN_HOST_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/random.hpp"
#include "camphormux/core/time.hpp"
#include "camphormux/core/units.hpp"

namespace camphormux::endpoint_standin {

/// Maximum number of requests that a host runs concurrently.
inline constexpr int kSlots = 8;
/// Maximum number of open connections of a host; a further one is closed at
/// once.
inline constexpr int kMaxConnections = 64;

/// @brief Configuration of a host from the fleet file.
struct HostSpec {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  core::Address address;
  int cores = 0;
  int memory_mib = 0;
  int accelerators = 0;
};

/// @brief Faults that can be injected into a host's responses.
enum class FaultMode {
  kNone,
  kSlow,      ///< The run takes `delay` longer.
  kFail,      ///< The run ends with status 500.
  kTruncate,  ///< Half of the body is sent, then the connection closes.
  kLate,      ///< The response is sent `delay` after the run ends.
  kSurplus,   ///< A second response follows that nobody requested.
  kClose,     ///< After the run the connection closes unanswered.
  kHang,      ///< No response; the connection closes after `delay`.
};

/// @brief A fault and the probability that it affects a run.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  double probability = 1.0;
  core::Millis delay{0};
};

/// @brief Counters since process start.
struct HostCounts {
  std::uint64_t runs = 0;
  std::uint64_t refused_slots = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t refused_misdirected = 0;
  std::uint64_t refused_connections = 0;
};

/// @brief State of one host.
struct Host {
  HostSpec spec;
  core::ServiceName service;  ///< Empty if unassigned.
  core::Generation generation;
  bool draining = false;
  bool rebooting = false;
  int running = 0;    ///< Occupied slots.
  int exchanges = 0;  ///< Runs whose response has not been sent yet.
  int connections = 0;
  std::uint64_t boot_id = 1;
  std::string last_maintenance;
  Fault fault;
  HostCounts counts;
};

/// @brief Why a host refuses a request.
enum class Refusal { kSlots, kDraining, kMisdirected };

/// @brief Formats the value of `Camphormux-Refused`.
/// @param refusal The reason.
/// @return "slots", "draining" or "misdirected".
[[nodiscard]] std::string_view Describe(Refusal refusal);

/// @brief Decides whether a host runs a request.
/// @param host The host.
/// @param service Value of `Camphormux-Service`.
/// @param generation Value of `Camphormux-Generation`, if it was a number.
/// @return The reason of a refusal, or nothing if the host runs the request.
[[nodiscard]] std::optional<Refusal> CheckAdmission(
    const Host& host, const core::ServiceName& service,
    std::optional<core::Generation> generation);

/// @brief Increments the counter of a refusal reason.
/// @param host The host.
/// @param refusal The reason.
void CountRefusal(Host& host, Refusal refusal);

/// @brief Assigns a host to a service. Repeating the current assignment
/// changes nothing; a newer one ends a drain.
/// @param host The host.
/// @param service The service; empty releases the host.
/// @param generation Number of the assignment.
/// @return False if the generation is stale, or the current one with another
/// service.
[[nodiscard]] bool Assign(Host& host, const core::ServiceName& service,
                          core::Generation generation);

/// @brief Makes a host refuse further requests.
/// @param host The host.
/// @param generation Number of the assignment that ends.
/// @return False if the generation is stale.
[[nodiscard]] bool Drain(Host& host, core::Generation generation);

/// @brief Starts a reboot unless the maintenance was done before.
/// @param host The host.
/// @param maintenance_id Identifies the maintenance.
/// @return True if a reboot starts now.
[[nodiscard]] bool BeginReboot(Host& host, const std::string& maintenance_id);

/// @brief Ends a reboot.
/// @param host The host.
void EndReboot(Host& host);

/// @brief Parses the name of a fault mode.
/// @param name Such as "slow".
/// @return The mode, or nothing if the name is unknown.
[[nodiscard]] std::optional<FaultMode> ParseFaultMode(std::string_view name);

/// @brief Decides at random whether the host's fault affects one run.
/// @param host The host.
/// @param random Random number generator.
/// @return The mode; `kNone` if the run is not affected.
[[nodiscard]] FaultMode SampleFault(const Host& host, core::Random& random);

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_HOST_HPP_
