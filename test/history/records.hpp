#ifndef CAMPHORMUX_TEST_HISTORY_RECORDS_HPP_
#define CAMPHORMUX_TEST_HISTORY_RECORDS_HPP_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace camphormux::history {

/// Unix time in microseconds.
using Micros = std::int64_t;

/// @brief One request as its caller saw it. Attempts with the same idempotency
/// key are the same request to the service and have the same identity.
struct CallerRequest {
  std::string identity;    ///< Last segment of the path.
  std::string request_id;  ///< From the gateway's response; may be empty.
  std::string key;
  std::string service;
  std::string gateway;  ///< Address of the gateway.
  bool repeatable = true;
  Micros sent = 0;
  Micros end = 0;
  std::string outcome;  ///< answered, not-run, unknown or none.
  int status = 0;
  std::string digest;  ///< Digest of the body that the caller got.
};

/// @brief One request that reached an endpoint, run or refused.
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

/// @brief A drain: the endpoint refuses new requests from `at` on.
struct DrainEvent {
  std::string host;
  std::uint64_t generation = 0;
  Micros at = 0;
};

/// @brief An assignment of an endpoint to a service.
struct AssignEvent {
  std::string host;
  std::string service;  ///< Empty if released.
  Micros at = 0;
};

/// @brief A period in which the test had killed or paused a gateway.
struct GatewayOutage {
  std::string gateway;  ///< Address as in `CallerRequest`.
  Micros from = 0;
  Micros to = 0;
};

/// @brief The records of one test run, from callers, endpoints and the fault
/// list.
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
/// @param history Receives the requests.
void ReadCallerHistory(std::istream& lines, History& history);

/// @brief Adds an execution journal.
/// @param lines JSON lines of `camphormux-endpoint-standin`.
/// @param history Receives arrivals, drains and assignments.
void ReadJournal(std::istream& lines, History& history);

/// @brief Adds a list of gateway outages.
/// @param lines JSON lines with `gateway`, `from_us` and `to_us`; others are
/// skipped.
/// @param history Receives the outages.
void ReadGatewayOutages(std::istream& lines, History& history);

}  // namespace camphormux::history

#endif  // CAMPHORMUX_TEST_HISTORY_RECORDS_HPP_
