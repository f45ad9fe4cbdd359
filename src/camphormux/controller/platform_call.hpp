#ifndef CAMPHORMUX_CONTROLLER_PLATFORM_CALL_HPP_
#define CAMPHORMUX_CONTROLLER_PLATFORM_CALL_HPP_

#include <string>

#include "camphormux/core/ids.hpp"
#include "camphormux/core/time.hpp"

namespace camphormux::controller {

enum class CallKind { kPool, kDrain, kReboot };

/// @brief A call that sets a desired state of a host on the platform. Repeating
/// it is harmless.
struct PlatformCall {
  CallKind kind = CallKind::kPool;
  core::HostId host;
  core::Epoch epoch;
  core::Generation generation;  ///< Used by `kPool` and `kDrain`.
  core::PoolName pool;          ///< Of `kPool`.
  core::ServiceName service;    ///< Of `kPool`.
  std::string maintenance_id;   ///< Used by `kReboot`.

  friend bool operator==(const PlatformCall&, const PlatformCall&) = default;
};

/// @brief Outcome of a platform call.
enum class CallOutcome {
  kDone,
  kStaleEpoch,  ///< Status 409: another controller holds the zone.
  kFailed,      ///< No answer or an error; the call may have taken effect.
};

/// @brief Outcome of a call, with the time of the answer or failure.
struct CallAnswer {
  PlatformCall call;
  CallOutcome outcome = CallOutcome::kFailed;
  core::MonotonicTime at;
};

}  // namespace camphormux::controller

#endif  // CAMPHORMUX_CONTROLLER_PLATFORM_CALL_HPP_
