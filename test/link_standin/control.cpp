#include "test/link_standin/control.hpp"

#include <string>

#include <nlohmann/json.hpp>

namespace camphormux::link_standin {
namespace internal {

using Json = nlohmann::json;

http::ServerResponse JsonResponse(int status, const Json& body) {
  return {status, body.dump() + "\n", "application/json", {}};
}

std::string Text(const Json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

http::ServerResponse PutRule(Relay& relay, const Json& body) {
  const auto mode = ParseLinkMode(Text(body, "mode"));
  if (!mode) {
    return JsonResponse(400, {{"code", "bad_field"}, {"field", "mode"}});
  }
  const auto delay = body.find("delay_ms");
  LinkRule rule{*mode, core::Millis{0}};
  if (delay != body.end() && delay->is_number_unsigned()) {
    rule.delay = core::Millis{delay->get<std::int64_t>()};
  }
  if (!relay.Set({Text(body, "from")}, {Text(body, "to")}, rule)) {
    return JsonResponse(400,
                        {{"code", "unknown_zone"}, {"field", "from or to"}});
  }
  return JsonResponse(200, Json::object());
}

Json Directions(const Relay& relay) {
  Json list = Json::array();
  for (const auto& [direction, traffic] : relay.traffic()) {
    list.push_back({{"from", direction.first.value},
                    {"to", direction.second.value},
                    {"connections", traffic.connections},
                    {"passed_bytes", traffic.passed_bytes},
                    {"dropped_bytes", traffic.dropped_bytes}});
  }
  return list;
}

}  // namespace internal

http::ServerResponse HandleControl(Relay& relay,
                                   const http::ServerRequest& request) {
  if (request.path != "/control/links") {
    return internal::JsonResponse(404,
                                  {{"code", "not_found"}, {"field", "path"}});
  }
  if (request.method == "GET") {
    return internal::JsonResponse(200, internal::Directions(relay));
  }
  const auto body = internal::Json::parse(request.body, nullptr, false);
  if (request.method != "PUT" || !body.is_object()) {
    return internal::JsonResponse(400,
                                  {{"code", "bad_json"}, {"field", "body"}});
  }
  return internal::PutRule(relay, body);
}

}  // namespace camphormux::link_standin
