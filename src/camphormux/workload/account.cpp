#include "camphormux/workload/account.hpp"

#include <openssl/sha.h>

#include "camphormux/workload/model.hpp"

namespace camphormux::workload {

KeyDigest DigestOf(std::string_view key) {
  static_assert(kKeyDigestBytes == SHA256_DIGEST_LENGTH);
  KeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.bytes.data());
  return digest;
}

std::optional<Caller> Authenticate(const Catalog& catalog, const Queue& queue,
                                   std::optional<std::string_view> key) {
  if (!catalog.needs_keys) {
    return Caller{};
  }
  const auto found =
      key ? catalog.keys.find(DigestOf(*key)) : catalog.keys.end();
  if (found != catalog.keys.end()) {
    return Caller{found->second};
  }
  return queue.is_public ? std::optional(Caller{AccountName{}}) : std::nullopt;
}

bool MayAccess(const Caller& caller, const AccountName& owner) {
  return !caller.account || owner.value.empty() || *caller.account == owner;
}

}  // namespace camphormux::workload
