#include "camphormux/workload/account.hpp"

#include <gtest/gtest.h>

#include "camphormux/workload/model.hpp"

namespace camphormux::workload {
namespace {

Catalog CatalogWithKeys() {
  Catalog catalog;
  catalog.needs_keys = true;
  catalog.keys[DigestOf("k-1")] = {"a"};
  return catalog;
}

Queue PublicQueue() {
  Queue queue;
  queue.is_public = true;
  return queue;
}

// Guards against keys that are asked for although no account is configured.
TEST(AccountTest, CatalogWithoutAccountsAsksForNoKey) {
  EXPECT_EQ(Authenticate(Catalog{}, {}, std::nullopt), Caller{});
  EXPECT_EQ(Authenticate(Catalog{}, {}, "k-1"), Caller{});
}

// Guards against callers that are served with an unknown key, or without one.
TEST(AccountTest, OnlyKnownKeysArePermitted) {
  const Catalog catalog = CatalogWithKeys();
  EXPECT_EQ(Authenticate(catalog, {}, "k-1"), Caller{AccountName{"a"}});
  EXPECT_FALSE(Authenticate(catalog, {}, "k-2"));
  EXPECT_FALSE(Authenticate(catalog, {}, ""));
  EXPECT_FALSE(Authenticate(catalog, {}, std::nullopt));
}

// Guards against a list without a readable account that lets everybody in.
TEST(AccountTest, KeysAreAskedForWithoutAReadableAccount) {
  Catalog catalog;
  catalog.needs_keys = true;
  EXPECT_FALSE(Authenticate(catalog, {}, "k-1"));
}

// Guards against public queues that refuse callers, or forget their account.
TEST(AccountTest, PublicQueuesNeedNoKey) {
  const Catalog catalog = CatalogWithKeys();
  const Caller nobody{AccountName{}};
  EXPECT_EQ(Authenticate(catalog, PublicQueue(), std::nullopt), nobody);
  EXPECT_EQ(Authenticate(catalog, PublicQueue(), "k-2"), nobody);
  EXPECT_EQ(Authenticate(catalog, PublicQueue(), "k-1"),
            Caller{AccountName{"a"}});
}

// Guards against callers that reach jobs of other accounts.
TEST(AccountTest, OnlyTheOwnAccountMayAccessAJob) {
  const Caller caller{AccountName{"a"}};
  const Caller nobody{AccountName{}};
  EXPECT_TRUE(MayAccess(caller, {"a"}));
  EXPECT_FALSE(MayAccess(caller, {"b"}));
  EXPECT_FALSE(MayAccess(nobody, {"a"}));
  EXPECT_TRUE(MayAccess(caller, {}) && MayAccess(nobody, {}));
  EXPECT_TRUE(MayAccess(Caller{}, {"a"}));
}

// Guards against digests that differ between processes or versions.
TEST(AccountTest, DigestIsSha256) {
  const KeyDigest digest = DigestOf("abc");
  EXPECT_EQ(digest.bytes[0], 0xba);
  EXPECT_EQ(digest.bytes[kKeyDigestBytes - 1], 0xad);
}

}  // namespace
}  // namespace camphormux::workload
