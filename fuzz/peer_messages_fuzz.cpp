#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "camphormux/demand/summary.hpp"
#include "camphormux/idempotency/answer_query.hpp"
#include "camphormux/idempotency/answers.hpp"
#include "camphormux/idempotency/records.hpp"
#include "camphormux/membership/messages.hpp"

namespace {

const camphormux::demand::ServiceIndexes& Indexes() {
  static const camphormux::demand::ServiceIndexes indexes{
      {camphormux::demand::MakeServiceIndex({{"a"}, {"b"}, {"c"}})}, {1}};
  return indexes;
}

}  // namespace

/// Guards against messages of other processes that crash their receiver. The
/// first byte selects the decoder.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace camphormux;  // NOLINT(google-build-using-namespace)
  if (size == 0) {
    return 0;
  }
  constexpr int kDecoders = 6;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  switch (data[0] % kDecoders) {
    case 0:
      static_cast<void>(membership::Decode(bytes));
      break;
    case 1:
      static_cast<void>(idempotency::DecodeBatch(bytes));
      break;
    case 2:
      static_cast<void>(idempotency::internal::DecodeQuery(bytes));
      break;
    case 3:
      static_cast<void>(idempotency::internal::DecodeReply(bytes));
      break;
    case 4:
      static_cast<void>(idempotency::DecodeAnswer(bytes));
      break;
    default:
      static_cast<void>(demand::DecodeSummary(bytes, Indexes()));
      break;
  }
  return 0;
}
