#include "test/link_standin/links_file.hpp"

#include <set>
#include <string_view>
#include <utility>

#include "camphormux/settings/reader.hpp"

namespace camphormux::link_standin {
namespace internal {

constexpr std::string_view kZone = "zone ";
constexpr std::string_view kTarget = "target ";

Target ReadTarget(settings::Reader& reader, const std::string& section) {
  Target target;
  target.name = section.substr(kTarget.size());
  target.zone.value = settings::ReadText(reader, section, "zone");
  target.listen = settings::ReadAddress(reader, section, "listen");
  target.address = settings::ReadAddress(reader, section, "address");
  return target;
}

}  // namespace internal

core::Result<Links, settings::Problems> ParseLinksFile(
    const settings::IniFile& file) {
  settings::Reader reader{&file, {}, {}};
  Links links;
  std::set<std::string> seen;
  for (const settings::IniEntry& entry : file.entries) {
    const std::string& section = entry.section;
    if (!seen.insert(section).second) {
      continue;
    }
    if (section.starts_with(internal::kZone)) {
      links.zone_of_source[settings::ReadOptionalIp(reader, section,
                                                    "source")] = {
          section.substr(internal::kZone.size())};
    } else if (section.starts_with(internal::kTarget)) {
      links.targets.push_back(internal::ReadTarget(reader, section));
    }
  }
  settings::RejectUnknownKeys(reader);
  if (links.targets.empty()) {
    settings::RejectMissing(reader, "target", "NAME", "at least one target");
  }
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return links;
}

}  // namespace camphormux::link_standin
