#include "test/platform/fake_store.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "platform/decode.hpp"

namespace camphormux::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kPageKeys = 500;

std::string Base64(const std::string& bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char byte : bytes) {
    bits = (bits << 8U) | static_cast<std::uint8_t>(byte);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text.push_back(kDigits[(bits >> count) & 63U]);
    }
  }
  if (count > 0) {
    text.push_back(kDigits[(bits << (6 - count)) & 63U]);
  }
  while (text.size() % 4 != 0) {
    text.push_back('=');
  }
  return text;
}

http::ServerResponse Answer(int status, const json& body) {
  http::ServerResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

}  // namespace

FakeStore::FakeStore(asio::io_context& loop, std::uint16_t port)
    : server_(loop, {"127.0.0.1", port},
              [this](const http::ServerRequest& request,
                     const http::Respond& respond) {
                if (rejects_requests) {
                  respond(Answer(503, json::object()));
                  return;
                }
                http::ServerResponse response =
                    request.path == "/-/log-append"   ? Append(request)
                    : request.path == "/-/log-newest" ? Newest(request)
                    : request.path == "/-/log-join"   ? Join(request)
                    : request.path == "/-/log-leave"  ? Leave(request)
                    : request.path == "/-/log-owners"
                        ? Owners(request)
                        : Answer(200, json::object());
                if (request.path == "/-/log-append" && append_status != 0) {
                  response = Answer(append_status, json::object());
                }
                if (drops_answers) {
                  unanswered_.push_back(respond);
                } else {
                  respond(std::move(response));
                }
              }) {}

http::ServerResponse FakeStore::Append(const http::ServerRequest& request) {
  const auto producer = request.query.find("producer");
  if (producer != request.query.end()) {
    Producer& known = producers_[producer->second];
    const std::uint64_t epoch = std::stoull(request.query.at("epoch"));
    const std::uint64_t sequence = std::stoull(request.query.at("sequence"));
    if (epoch < known.epoch) {
      return Answer(409, {{"reason", "fenced"}});
    }
    if (epoch > known.epoch) {
      known = {epoch, std::nullopt};
    }
    if (request.body.empty()) {
      return Answer(200, {{"offset", 0}, {"end", 0}});
    }
    if (known.sequence && sequence <= *known.sequence) {
      return Answer(200, {{"offset", 0}, {"end", 0}});  // A repeated append.
    }
    if (known.sequence && sequence != *known.sequence + 1) {
      return Answer(409, {{"reason", "seq"}});
    }
    known.sequence = sequence;
  }
  ++executed_appends;
  // Two zero offsets are put in front, as in the answer to a read.
  const auto page = DecodeRecordPage(std::string(16, '\0') + request.body);
  for (const KeyedRecord& record : page->records) {
    auto& topic = newest_values[request.query.at("topic")];
    if (record.value) {
      topic[record.key] = *record.value;
    } else {
      topic.erase(record.key);
    }
  }
  return Answer(200, {{"offset", 0}, {"end", 0}});
}

std::vector<std::string> FakeStore::Deal(const Group& group,
                                         const std::string& topic) const {
  std::vector<std::string> members;
  for (const auto& [member, own_topic] : group) {
    if (own_topic == topic) {
      members.push_back(member);
    }
  }
  std::vector<std::string> owners;
  for (std::size_t part = 0; part < partitions && !members.empty(); ++part) {
    owners.push_back(members[part % members.size()]);
  }
  return owners;
}

http::ServerResponse FakeStore::Join(const http::ServerRequest& request) {
  const json body = json::parse(request.body);
  Group& group = groups_[body["group"].get<std::string>()];
  const std::string member = body["member"].get<std::string>();
  const std::string topic = body["topics"][0].get<std::string>();
  const auto known =
      std::find_if(group.begin(), group.end(),
                   [&](const auto& entry) { return entry.first == member; });
  if (known == group.end()) {
    group.emplace_back(member, topic);
    ++generation_;
  } else if (known->second != topic) {
    known->second = topic;
    ++generation_;
  }
  json parts = json::array();
  const std::vector<std::string> owners = Deal(group, topic);
  for (std::size_t part = 0; part < owners.size(); ++part) {
    if (owners[part] == member) {
      parts.push_back({topic, part, 0});
    }
  }
  return Answer(200, {{"generation", generation_}, {"parts", parts}});
}

http::ServerResponse FakeStore::Leave(const http::ServerRequest& request) {
  const json body = json::parse(request.body);
  Group& group = groups_[body["group"].get<std::string>()];
  const std::string member = body["member"].get<std::string>();
  generation_ += std::erase_if(
      group, [&](const auto& entry) { return entry.first == member; });
  return Answer(200, json::object());
}

void FakeStore::EndMemberships() {
  for (auto& [name, group] : groups_) {
    generation_ += group.size();
    group.clear();
  }
}

http::ServerResponse FakeStore::Owners(const http::ServerRequest& request) {
  const Group& group = groups_[request.query.at("group")];
  std::set<std::string> topics;
  for (const auto& [member, topic] : group) {
    topics.insert(topic);
  }
  json rows = json::array();
  for (const std::string& topic : topics) {
    const std::vector<std::string> owners = Deal(group, topic);
    for (std::size_t part = 0; part < owners.size(); ++part) {
      rows.push_back({topic, part, owners[part], 0});
    }
  }
  return Answer(200, {{"owners", rows}});
}

http::ServerResponse FakeStore::Newest(
    const http::ServerRequest& request) const {
  json items = json::array();
  const auto after = request.query.find("after");
  bool more = false;
  const auto topic = newest_values.find(request.query.at("topic"));
  if (topic != newest_values.end()) {
    for (const auto& [key, value] : topic->second) {
      if (after != request.query.end() && key <= after->second) {
        continue;
      }
      if (items.size() == kPageKeys) {
        more = true;
        break;
      }
      items.push_back({{"key", key}, {"value", Base64(value)}, {"offset", 0}});
    }
  }
  return Answer(200, {{"items", items}, {"hasMore", more}, {"end", 0}});
}

}  // namespace camphormux::platform
