#ifndef CAMPHORMUX_WORKLOAD_ACCOUNT_HPP_
#define CAMPHORMUX_WORKLOAD_ACCOUNT_HPP_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "camphormux/core/ids.hpp"
#include "camphormux/placement/resources.hpp"

namespace camphormux::workload {

struct Catalog;
struct Queue;

using AccountName = core::Name<struct AccountTag>;

inline constexpr std::size_t kKeyDigestBytes = 32;

/// @brief SHA-256 digest of an API key. Keys are secrets, so that only their
/// digests are kept and compared: how long a lookup takes tells nothing of a
/// key.
struct KeyDigest {
  std::array<std::uint8_t, kKeyDigestBytes> bytes{};

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;
};

/// @brief A client account as configured by the operators.
struct Account {
  AccountName name;
  /// Share of the account when there is not room for all, relative to those of
  /// the others.
  double weight = 1.0;
  /// Maximum that may run for the account at a time; 0: unlimited.
  placement::Resources cap;

  friend bool operator==(const Account&, const Account&) = default;
};

/// @brief On whose behalf a request is made.
struct Caller {
  /// Empty for a caller without an account, on a public queue. Nothing if it is
  /// not known: the catalog needs no keys, or a node of an earlier version has
  /// forwarded the request.
  std::optional<AccountName> account;

  friend bool operator==(const Caller&, const Caller&) = default;
};

/// @brief Computes the digest of an API key.
/// @param key The key as it is sent.
/// @return The digest.
[[nodiscard]] KeyDigest DigestOf(std::string_view key);

/// @brief Finds out on whose behalf a request to a queue is made.
/// @param catalog The catalog.
/// @param queue Queue of the request; public queues need no key.
/// @param key API key of the request; nothing if it has none.
/// @return The caller, or nothing if the request is not permitted.
[[nodiscard]] std::optional<Caller> Authenticate(
    const Catalog& catalog, const Queue& queue,
    std::optional<std::string_view> key);

/// @brief Returns whether a caller may see and cancel a job.
/// @param caller The caller.
/// @param owner Account of the job; empty if it has none.
[[nodiscard]] bool MayAccess(const Caller& caller, const AccountName& owner);

}  // namespace camphormux::workload

#endif  // CAMPHORMUX_WORKLOAD_ACCOUNT_HPP_
