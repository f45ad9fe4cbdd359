#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "camphormux/jobs/codec.hpp"
#include "camphormux/jobs/fold.hpp"

/// Guards against records of the jobs stream that crash a reader, stop it from
/// going on, or do not survive a second encoding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace jobs = camphormux::jobs;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto batch = jobs::DecodeRecords(bytes);
  if (batch.has_value()) {
    const std::string once = jobs::EncodeRecords(batch.value().records);
    const auto again = jobs::DecodeRecords(once);
    if (!again.has_value() ||
        jobs::EncodeRecords(again.value().records) != once) {
      std::abort();
    }
  }
  jobs::Fold fold;
  static_cast<void>(jobs::Apply(fold, {{0}, {}, bytes}));
  if (fold.next.value != 1) {
    std::abort();
  }
  return 0;
}
