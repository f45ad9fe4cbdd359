#include "test/history/records.hpp"

#include <nlohmann/json.hpp>

namespace camphormux::history {
namespace internal {

using Json = nlohmann::json;

std::string Identity(const std::string& path) {
  const std::string bare = path.substr(0, path.find('?'));
  return bare.substr(bare.rfind('/') + 1);
}

/// Calls `read` for each line that is a JSON object. Counts other lines, and
/// those with missing fields or fields of another type, as unreadable.
template <typename ReadLine>
void ForEachLine(std::istream& lines, History& history, ReadLine read) {
  std::string line;
  while (std::getline(lines, line)) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
      ++history.unreadable_lines;
      continue;
    }
    try {
      read(json);
    } catch (const Json::exception&) {
      ++history.unreadable_lines;
    }
  }
}

Arrival ToArrival(const Json& json, bool ran) {
  Arrival arrival;
  arrival.request_id = json.at("request_id").get<std::string>();
  arrival.key = json.at("key").get<std::string>();
  arrival.host = json.at("host").get<std::string>();
  arrival.service = json.at("service").get<std::string>();
  arrival.identity = Identity(json.at("path").get<std::string>());
  arrival.generation = json.at("generation").get<std::uint64_t>();
  arrival.start = json.at("start_us").get<Micros>();
  arrival.ran = ran;
  if (ran) {
    arrival.end = json.at("end_us").get<Micros>();
    arrival.outcome = json.at("outcome").get<std::string>();
    arrival.digest = json.at("digest").get<std::string>();
  }
  return arrival;
}

}  // namespace internal

void ReadCallerHistory(std::istream& lines, History& history) {
  internal::ForEachLine(lines, history, [&](const internal::Json& json) {
    CallerRequest request;
    request.identity = json.at("identity").get<std::string>();
    request.request_id = json.at("request_id").get<std::string>();
    request.key = json.at("key").get<std::string>();
    request.service = json.at("service").get<std::string>();
    request.gateway = json.at("gateway").get<std::string>();
    request.repeatable = json.at("repeatable").get<bool>();
    request.sent = json.at("sent_us").get<Micros>();
    request.end = json.at("end_us").get<Micros>();
    request.outcome = json.at("outcome").get<std::string>();
    request.status = json.at("status").get<int>();
    request.digest = json.at("digest").get<std::string>();
    history.requests.push_back(std::move(request));
  });
}

void ReadJournal(std::istream& lines, History& history) {
  internal::ForEachLine(lines, history, [&](const internal::Json& json) {
    const std::string kind = json.at("kind").get<std::string>();
    if (kind == "run" || kind == "refused") {
      history.arrivals.push_back(internal::ToArrival(json, kind == "run"));
    } else if (kind == "drain") {
      history.drains.push_back({json.at("host").get<std::string>(),
                                json.at("generation").get<std::uint64_t>(),
                                json.at("at_us").get<Micros>()});
    } else if (kind == "assign") {
      history.assigns.push_back({json.at("host").get<std::string>(),
                                 json.at("service").get<std::string>(),
                                 json.at("at_us").get<Micros>()});
    }
  });
}

void ReadGatewayOutages(std::istream& lines, History& history) {
  internal::ForEachLine(lines, history, [&](const internal::Json& json) {
    if (json.contains("gateway")) {
      history.outages.push_back({json.at("gateway").get<std::string>(),
                                 json.at("from_us").get<Micros>(),
                                 json.at("to_us").get<Micros>()});
    }
  });
}

}  // namespace camphormux::history
