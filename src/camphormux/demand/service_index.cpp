#include "camphormux/demand/service_index.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <xxhash.h>

namespace camphormux::demand {

ServiceIndex MakeServiceIndex(std::vector<core::ServiceName> names) {
  std::string all;
  for (const core::ServiceName& name : names) {
    all += name.value;
    all += '\n';
  }
  return {std::move(names), XXH32(all.data(), all.size(), 0)};
}

void UpdateIndexes(ServiceIndexes& indexes, const state::AcceptedText& text) {
  if (!text.parsed || text.revision == indexes.revision) {
    return;
  }
  indexes.revision = text.revision;
  std::vector<core::ServiceName> names;
  for (const auto& [name, service] : text.parsed->services) {
    names.push_back(name);
  }
  ServiceIndex latest = MakeServiceIndex(std::move(names));
  std::erase_if(indexes.known, [&latest](const ServiceIndex& index) {
    return index.digest == latest.digest;
  });
  indexes.known.push_front(std::move(latest));
  if (indexes.known.size() > kMaxIndexes) {
    indexes.known.pop_back();
  }
}

}  // namespace camphormux::demand
