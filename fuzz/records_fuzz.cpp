#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/state_codec.hpp"

/// Guards against log records that crash a reader, move the fold past them
/// inexactly, or do not survive a second encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace state = camphormux::state;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto batch = state::DecodeRecords(bytes);
  if (batch.has_value()) {
    const auto again =
        state::DecodeRecords(state::EncodeRecords(batch.value().records));
    if (!again.has_value() || again.value().records != batch.value().records) {
      std::abort();
    }
  }
  state::FleetState fleet;
  static_cast<void>(state::ApplyEncoded(fleet, bytes, {0}));
  if (fleet.next.value != 1) {
    std::abort();
  }
  static_cast<void>(state::DecodeState(bytes));
  return 0;
}
