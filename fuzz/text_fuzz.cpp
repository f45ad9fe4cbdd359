#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "camphormux/text/parse.hpp"

/// Guards against operator texts that crash the parser or are rejected without
/// a reason.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view source(reinterpret_cast<const char*>(data), size);
  const auto text = camphormux::text::ParseOperatorText("fuzz.ini", source);
  if (!text.has_value() && text.error().empty()) {
    std::abort();
  }
  return 0;
}
