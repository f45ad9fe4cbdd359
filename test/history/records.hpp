#ifndef CAMPHORMUX_TEST_HISTORY_RECORDS_HPP_
#define CAMPHORMUX_TEST_HISTORY_RECORDS_HPP_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace camphormux::history {

/// Unix time in microseconds.
using Micros = std::int64_t;

/// @brief One request as its caller saw it. Asks with the same key are the
/// same request to the service and have the same identity.
struct CallerRequest {
  std::string identity;    ///< Last segment of the path.
  std::string request_id;  ///< As the gateway answered it; may be empty.
  std::string key;
  std::string service;
  std::string gateway;  ///< Address.
  bool repeatable = true;
  Micros sent = 0;
  Micros end = 0;
  std::string outcome;  ///< answered, not-run, unknown or none.
  int status = 0;
  std::string digest;  ///< Of the body that arrived.
};

/// @brief One request that reached an endpoint.
struct Arrival {
  std::string request_id;
  std::string key;
  std::string host;
  std::string service;
  std::string identity;
  std::uint64_t generation = 0;
  bool ran = false;
  Micros start = 0;
  Micros end = 0;  ///< Only if it ran.
  std::string outcome;
  std::string digest;
};

/// @brief The moment at which an endpoint was told to refuse new work.
struct DrainEvent {
  std::string host;
  std::uint64_t generation = 0;
  Micros at = 0;
};

/// @brief The moment at which an endpoint got a service.
struct AssignEvent {
  std::string host;
  std::string service;  ///< Empty: released.
  Micros at = 0;
};

/// @brief A time in which a gateway was killed or paused on purpose.
struct GatewayOutage {
  std::string gateway;  ///< Address as in `CallerRequest`.
  Micros from = 0;
  Micros to = 0;
};

/// @brief Everything that is known of one run of the system.
struct History {
  std::vector<CallerRequest> requests;
  std::vector<Arrival> arrivals;
  std::vector<DrainEvent> drains;
  std::vector<AssignEvent> assigns;
  std::vector<GatewayOutage> outages;
  std::uint64_t unreadable_lines = 0;  ///< Lines that could not be read.
};

/// @brief Adds a caller history.
/// @param lines JSON lines of `camphormux-load`.
/// @param history Receives the asks.
void ReadCallerHistory(std::istream& lines, History& history);

/// @brief Adds an execution journal.
/// @param lines JSON lines of `camphormux-endpoint-standin`.
/// @param history Receives arrivals and drains.
void ReadJournal(std::istream& lines, History& history);

/// @brief Adds a list of disturbances.
/// @param lines JSON lines with `gateway`, `from_us` and `to_us`; others are
/// skipped.
/// @param history Receives the disturbances.
void ReadGatewayOutages(std::istream& lines, History& history);

}  // namespace camphormux::history

#endif  // CAMPHORMUX_TEST_HISTORY_RECORDS_HPP_
