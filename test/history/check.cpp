#include "test/history/check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace camphormux::history {
namespace internal {

using Runs = std::vector<const Arrival*>;

/// Lookup tables of runs and requests.
struct Index {
  std::unordered_map<std::string, Runs> by_identity;
  std::unordered_map<std::string, Runs> by_request;
  std::unordered_map<std::string, Runs> by_key;
  /// Identity of a run by the digest of its response body.
  std::unordered_map<std::string, std::string> identity_of_digest;
  std::unordered_map<std::string, std::vector<const CallerRequest*>>
      requests_of_identity;
};

Index MakeIndex(const History& history) {
  Index index;
  for (const Arrival& arrival : history.arrivals) {
    if (!arrival.ran) {
      continue;
    }
    index.by_identity[arrival.identity].push_back(&arrival);
    index.by_request[arrival.request_id].push_back(&arrival);
    if (!arrival.key.empty()) {
      index.by_key[arrival.key].push_back(&arrival);
    }
    index.identity_of_digest.emplace(arrival.digest, arrival.identity);
  }
  for (const CallerRequest& request : history.requests) {
    index.requests_of_identity[request.identity].push_back(&request);
  }
  return index;
}

Runs RunsOf(const std::unordered_map<std::string, Runs>& index,
            const std::string& name) {
  const auto found = index.find(name);
  return found == index.end() ? Runs{} : found->second;
}

std::string DescribeRequest(const CallerRequest& request) {
  return "identity " + request.identity + ", request " + request.request_id +
         ", gateway " + request.gateway;
}

bool HadOutage(const History& history, const std::string& gateway, Micros from,
               Micros to) {
  return std::any_of(history.outages.begin(), history.outages.end(),
                     [&](const GatewayOutage& outage) {
                       return outage.gateway == gateway && outage.from <= to &&
                              from <= outage.to;
                     });
}

void CheckAnswer(const CallerRequest& request, const Index& index,
                 CheckResult& result) {
  const Runs runs = RunsOf(index.by_identity, request.identity);
  const bool own = std::any_of(
      runs.begin(), runs.end(),
      [&request](const Arrival* run) { return run->digest == request.digest; });
  if (own) {
    return;
  }
  const auto other = index.identity_of_digest.find(request.digest);
  if (other != index.identity_of_digest.end()) {
    result.breaches.push_back(
        {Promise::kAnswerOwn,
         DescribeRequest(request) + ": body of " + other->second});
  } else {
    result.breaches.push_back(
        {Promise::kAnswerWhole,
         DescribeRequest(request) + ": body " + request.digest +
             " left no endpoint, status " + std::to_string(request.status)});
  }
}

void CheckNotRun(const CallerRequest& request, const Index& index,
                 CheckResult& result) {
  const Runs runs = request.request_id.empty()
                        ? RunsOf(index.by_identity, request.identity)
                        : RunsOf(index.by_request, request.request_id);
  if (!runs.empty()) {
    result.breaches.push_back(
        {Promise::kNotRunDidNotRun,
         DescribeRequest(request) + ": ran on " + runs[0]->host});
  }
}

void CheckUnknown(const CallerRequest& request, const Index& index,
                  CheckResult& result) {
  const Runs runs = RunsOf(index.by_request, request.request_id);
  if (std::any_of(runs.begin(), runs.end(), [](const Arrival* run) {
        return run->outcome == "answered";
      })) {
    ++result.unknown_but_sent;
  }
}

void CheckOutcome(const CallerRequest& request, const History& history,
                  const Index& index, CheckResult& result) {
  ++result.requests;
  if (request.outcome == "answered") {
    ++result.answered;
    CheckAnswer(request, index, result);
  } else if (request.outcome == "not-run") {
    ++result.not_run;
    CheckNotRun(request, index, result);
  } else if (request.outcome == "unknown") {
    ++result.unknown;
    CheckUnknown(request, index, result);
  } else if (HadOutage(history, request.gateway, request.sent, request.end)) {
    ++result.excused;
  } else {
    result.breaches.push_back(
        {Promise::kAnswerNotLost, DescribeRequest(request) + ": outcome '" +
                                      request.outcome + "', status " +
                                      std::to_string(request.status)});
  }
}

/// Appends the hosts on which the runs of a request took place.
std::string RanOn(std::string name, const Runs& runs) {
  name += " ran on";
  for (const Arrival* run : runs) {
    name += " ";
    name += run->host;
  }
  return name;
}

void CheckKeys(const Index& index, CheckResult& result) {
  for (const auto& [key, runs] : index.by_key) {
    if (runs.size() > 1) {
      result.breaches.push_back(
          {Promise::kKeyRunsOnce, RanOn("key " + key, runs)});
    }
  }
}

/// Reports non-repeatable requests that ran more than once. A request without
/// idempotency key is sent once by its caller, so its runs are found by its
/// identity: the request id is unknown to a caller whose gateway died.
void CheckRequestRuns(const History& history, const Index& index,
                      CheckResult& result) {
  for (const CallerRequest& request : history.requests) {
    if (request.repeatable) {
      continue;
    }
    const Runs runs = request.key.empty()
                          ? RunsOf(index.by_identity, request.identity)
                          : RunsOf(index.by_request, request.request_id);
    if (runs.size() > 1) {
      result.breaches.push_back(
          {Promise::kRequestRunsOnce, RanOn(DescribeRequest(request), runs)});
    }
  }
}

/// Returns whether the gateway that sent the arrival had an outage within
/// `kLeavingGrace` before it. Matches by identity, because a caller whose
/// gateway was paused may not know the request id.
bool FromPausedGateway(const Arrival& arrival, const History& history,
                       const Index& index) {
  const auto requests = index.requests_of_identity.find(arrival.identity);
  return requests != index.requests_of_identity.end() &&
         std::any_of(requests->second.begin(), requests->second.end(),
                     [&](const CallerRequest* request) {
                       const bool sender =
                           request->request_id.empty() ||
                           request->request_id == arrival.request_id;
                       return sender && HadOutage(history, request->gateway,
                                                  arrival.start - kLeavingGrace,
                                                  arrival.start);
                     });
}

void CheckLeaving(const History& history, const Index& index,
                  CheckResult& result) {
  std::map<std::pair<std::string, std::uint64_t>, Micros> drained;
  for (const DrainEvent& drain : history.drains) {
    drained.try_emplace({drain.host, drain.generation}, drain.at);
  }
  for (const Arrival& arrival : history.arrivals) {
    const auto drain = drained.find({arrival.host, arrival.generation});
    if (drain == drained.end() ||
        arrival.start <= drain->second + kLeavingGrace) {
      continue;
    }
    // A paused gateway cannot react to a drain and resumes with outdated
    // state.
    if (FromPausedGateway(arrival, history, index)) {
      ++result.excused;
      continue;
    }
    result.breaches.push_back(
        {Promise::kLeavingGetsNoWork,
         "host " + arrival.host + ", request " + arrival.request_id + ": " +
             std::to_string((arrival.start - drain->second) / 1000) +
             " ms after its drain"});
  }
}

/// Reports runs that overlap a run of another service on the same host; one
/// overlap for each run.
void CheckHost(const std::string& host, const Runs& runs, CheckResult& result) {
  // Latest end of the runs so far, by service.
  std::map<std::string, Micros> ends;
  for (const Arrival* run : runs) {
    const auto overlap =
        std::find_if(ends.begin(), ends.end(), [run](const auto& entry) {
          return entry.first != run->service && run->start < entry.second;
        });
    if (overlap != ends.end()) {
      std::string detail("host ");
      detail.append(host).append(" ran ").append(run->service);
      detail.append(" during ").append(overlap->first).append(", request ");
      detail.append(run->request_id);
      result.breaches.push_back({Promise::kOneServicePerHost, detail});
    }
    Micros& end = ends[run->service];
    end = std::max(end, run->end);
  }
}

void CheckOneService(const History& history, CheckResult& result) {
  std::map<std::string, Runs> by_host;
  for (const Arrival& arrival : history.arrivals) {
    if (arrival.ran) {
      by_host[arrival.host].push_back(&arrival);
    }
  }
  for (auto& [host, runs] : by_host) {
    std::sort(runs.begin(), runs.end(), [](const Arrival* a, const Arrival* b) {
      return a->start < b->start;
    });
    CheckHost(host, runs, result);
  }
}

std::uint64_t CountMoves(const History& history) {
  std::vector<AssignEvent> assigns = history.assigns;
  std::stable_sort(
      assigns.begin(), assigns.end(),
      [](const AssignEvent& a, const AssignEvent& b) { return a.at < b.at; });
  std::map<std::string, std::string> services;
  std::uint64_t moves = 0;
  for (const AssignEvent& assign : assigns) {
    if (assign.service.empty()) {
      continue;
    }
    std::string& service = services[assign.host];
    moves += !service.empty() && service != assign.service ? 1 : 0;
    service = assign.service;
  }
  return moves;
}

}  // namespace internal

std::string_view Describe(Promise promise) {
  switch (promise) {
    case Promise::kAnswerNotLost:
      return "answer-not-lost";
    case Promise::kAnswerOwn:
      return "answer-own";
    case Promise::kAnswerWhole:
      return "answer-whole";
    case Promise::kNotRunDidNotRun:
      return "not-run-did-not-run";
    case Promise::kKeyRunsOnce:
      return "key-runs-once";
    case Promise::kRequestRunsOnce:
      return "request-runs-once";
    case Promise::kLeavingGetsNoWork:
      return "leaving-gets-no-work";
    case Promise::kOneServicePerHost:
      return "one-service-per-host";
  }
  return "unknown";
}

CheckResult Check(const History& history) {
  CheckResult result;
  const internal::Index index = internal::MakeIndex(history);
  for (const Arrival& arrival : history.arrivals) {
    ++(arrival.ran ? result.runs : result.refusals);
  }
  for (const CallerRequest& request : history.requests) {
    internal::CheckOutcome(request, history, index, result);
  }
  internal::CheckKeys(index, result);
  internal::CheckRequestRuns(history, index, result);
  internal::CheckLeaving(history, index, result);
  internal::CheckOneService(history, result);
  result.moves = internal::CountMoves(history);
  std::stable_sort(
      result.breaches.begin(), result.breaches.end(),
      [](const Breach& a, const Breach& b) { return a.promise < b.promise; });
  return result;
}

}  // namespace camphormux::history
