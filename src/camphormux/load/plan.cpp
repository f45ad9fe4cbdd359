#include "camphormux/load/plan.hpp"

#include <array>
#include <cstdio>

namespace camphormux::load {
namespace internal {

bool Chance(core::Random& random, double share) {
  return core::UnitInterval(random) < share;
}

void MakeNonRepeatable(const text::RequestPattern& pattern,
                       const PlanOptions& options, core::Random& random,
                       std::uint64_t unix_ms, Plan& plan) {
  plan.repeatable = false;
  plan.method = pattern.method == "*" ? "POST" : pattern.method;
  plan.path = pattern.path_prefix;
  if (!Chance(random, options.keyed)) {
    return;
  }
  plan.key = MakeUuid7(random, unix_ms);
  plan.send_duplicate = Chance(random, options.duplicated);
  plan.duplicate_delay = core::Jitter(random, options.max_duplicate_delay);
}

}  // namespace internal

std::string MakeUuid7(core::Random& random, std::uint64_t unix_ms) {
  constexpr std::uint64_t kVersion = 7;
  constexpr std::uint64_t kVariant = 2;
  const std::uint64_t high =
      (unix_ms << 16) | (kVersion << 12) | (random.engine() & 0xfff);
  const std::uint64_t low = (kVariant << 62) | (random.engine() >> 2);
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(high >> 32),
                static_cast<unsigned>((high >> 16) & 0xffff),
                static_cast<unsigned>(high & 0xffff),
                static_cast<unsigned>(low >> 48),
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    low & 0xffffffffffff));
  return text.data();
}

Plan MakePlan(const text::Service& service, const PlanOptions& options,
              core::Random& random, std::uint64_t unix_ms) {
  Plan plan;
  plan.identity = MakeUuid7(random, unix_ms);
  plan.service = service.name.value;
  plan.urgent = internal::Chance(random, options.urgent);
  const bool non_repeatable = internal::Chance(random, options.non_repeatable);
  if (non_repeatable && !service.non_repeatable.empty()) {
    const auto& patterns = service.non_repeatable;
    internal::MakeNonRepeatable(
        patterns[core::UniformBelow(random, patterns.size())], options, random,
        unix_ms, plan);
  } else {
    plan.method = "GET";
    plan.path = "/items";
  }
  plan.path = "/" + plan.service + plan.path + "/" + plan.identity;
  return plan;
}

}  // namespace camphormux::load
