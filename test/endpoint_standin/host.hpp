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

/// Requests that a host runs at the same time.
inline constexpr int kSlots = 8;
/// Connections that a host keeps open; a further one is closed at once.
inline constexpr int kMaxConnections = 64;

/// @brief What the fleet file says of a host.
struct HostSpec {
  core::HostId id;
  core::ZoneName zone;
  core::RackName rack;
  core::Address address;
  int cores = 0;
  int memory_mib = 0;
  int accelerators = 0;
};

/// @brief How a host misbehaves.
enum class FaultMode {
  kNone,
  kSlow,      ///< The run takes `delay` longer.
  kFail,      ///< The run ends with status 500.
  kTruncate,  ///< Half of the body is sent, then the connection closes.
  kLate,      ///< The answer leaves `delay` after the end of the run.
  kSurplus,   ///< Bytes of a second response follow the answer.
  kClose,     ///< The connection closes without an answer after the run.
  kHang,      ///< No answer; the connection closes after `delay`.
};

/// @brief A fault and the share of runs that it affects.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  double probability = 1.0;
  core::Millis delay{0};
};

/// @brief Counts since the start of the process.
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
  core::ServiceName service;  ///< Empty: none.
  core::Generation generation;
  bool draining = false;
  bool rebooting = false;
  int running = 0;    ///< Occupied slots.
  int exchanges = 0;  ///< Runs whose answer has not left yet.
  int connections = 0;
  std::uint64_t boot_id = 1;
  std::string last_maintenance;
  Fault fault;
  HostCounts counts;
};

/// @brief Why a host does not run a request.
enum class Refusal { kSlots, kDraining, kMisdirected };

/// @brief Formats the value of `Camphormux-Refused`.
/// @param refusal The reason.
/// @return "slots", "draining" or "misdirected".
[[nodiscard]] std::string_view Describe(Refusal refusal);

/// @brief Decides whether a host runs a request.
/// @param host The host.
/// @param service Value of `Camphormux-Service`.
/// @param generation Value of `Camphormux-Generation`, if it was a number.
/// @return Why not, or nothing if the host runs it.
[[nodiscard]] std::optional<Refusal> CheckAdmission(
    const Host& host, const core::ServiceName& service,
    std::optional<core::Generation> generation);

/// @brief Counts a refusal.
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
/// @return The mode, or nothing if there is none of that name.
[[nodiscard]] std::optional<FaultMode> ParseFaultMode(std::string_view name);

/// @brief Draws the fault of one run.
/// @param host The host.
/// @param random Source of the draw.
/// @return The mode; `kNone` if the run is not affected.
[[nodiscard]] FaultMode SampleFault(const Host& host, core::Random& random);

}  // namespace camphormux::endpoint_standin

#endif  // CAMPHORMUX_TEST_ENDPOINT_STANDIN_HOST_HPP_
