#include "test/endpoint_standin/fleet_file.hpp"

#include <set>

#include "camphormux/settings/reader.hpp"

namespace camphormux::endpoint_standin {
namespace internal {

constexpr std::string_view kPrefix = "host ";
constexpr int kMaxCores = 4096;
constexpr int kMaxMemoryMib = 1 << 26;
constexpr int kMaxAccelerators = 64;

HostSpec ReadHost(settings::Reader& reader, const std::string& section) {
  HostSpec spec;
  spec.id.value = section.substr(kPrefix.size());
  spec.zone.value = settings::ReadText(reader, section, "zone");
  spec.rack.value = settings::ReadText(reader, section, "rack");
  spec.address = settings::ReadAddress(reader, section, "address");
  spec.cores = static_cast<int>(
      settings::ReadInteger(reader, section, "cores", 1, kMaxCores));
  spec.memory_mib = static_cast<int>(
      settings::ReadInteger(reader, section, "memory_mib", 1, kMaxMemoryMib));
  spec.accelerators = static_cast<int>(settings::ReadInteger(
      reader, section, "accelerators", 0, kMaxAccelerators, 0));
  return spec;
}

}  // namespace internal

core::Result<std::vector<HostSpec>, settings::Problems> ParseFleetFile(
    const settings::IniFile& file) {
  settings::Reader reader{&file, {}, {}};
  std::vector<HostSpec> hosts;
  std::set<std::string> seen;
  for (const settings::IniEntry& entry : file.entries) {
    if (entry.section.starts_with(internal::kPrefix) &&
        seen.insert(entry.section).second) {
      hosts.push_back(internal::ReadHost(reader, entry.section));
    }
  }
  settings::RejectUnknownKeys(reader);
  if (hosts.empty()) {
    settings::RejectMissing(reader, "host", "NAME", "at least one host");
  }
  if (!reader.problems.empty()) {
    return std::move(reader.problems);
  }
  return hosts;
}

}  // namespace camphormux::endpoint_standin
