#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/packed_state.hpp"

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
  // Also covers compressed states; their header bounds what is expanded.
  const auto decoded = state::DecodePackedState(bytes);
  if (decoded.has_value() &&
      !state::DecodePackedState(state::EncodePackedState(decoded.value()))
           .has_value()) {
    std::abort();
  }
  return 0;
}
