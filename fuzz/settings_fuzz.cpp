#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "camphormux/settings/reader.hpp"

/// Guards against settings that crash the reader and entries without a line.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace settings = camphormux::settings;
  const std::string_view source(reinterpret_cast<const char*>(data), size);
  const auto file = settings::ParseIni("fuzz.ini", source);
  if (!file.has_value()) {
    return 0;
  }
  settings::Reader reader{&file.value(), {}, {}};
  for (const settings::IniEntry& entry : file.value().entries) {
    if (entry.line <= 0) {
      std::abort();
    }
    settings::ReadAddresses(reader, entry.section, entry.key);
    settings::ReadDuration(reader, entry.section, entry.key,
                           camphormux::core::Millis(0),
                           camphormux::core::Millis(1000));
    settings::ReadSize(reader, entry.section, entry.key, {0}, {1000});
    settings::ReadReal(reader, entry.section, entry.key, 0.0, 1.0);
  }
  settings::RejectUnknownKeys(reader);
  return 0;
}
