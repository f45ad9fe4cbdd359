#include "camphormux/gateway/request_options.hpp"

#include <gtest/gtest.h>

namespace camphormux::gateway {
namespace {

// Guards against alternative spellings of a path that do not match the
// declaration of non-repeatable requests.
TEST(MustRunOnceTest, SpellingsOfAPathAreTheSame) {
  text::Service service;
  service.non_repeatable = {{"POST", "/holds"}};
  for (const char* target :
       {"/holds", "/holds?x=1", "/%68olds", "//holds", "/./holds",
        "/a/../holds", "/%2e/holds/3", "/a/%2E%2e/holds"}) {
    EXPECT_TRUE(MustRunOnce(service, "POST", target)) << target;
  }
  for (const char* target : {"/list", "/?x=/holds", "/lis%", "/%"}) {
    EXPECT_FALSE(MustRunOnce(service, "POST", target)) << target;
  }
}

// Guards against forwarding headers that are valid for one connection only or
// that the gateway sets itself.
TEST(EndToEndHeadersTest, DropsHopByHopAndOwnHeaders) {
  const http::Headers kept = EndToEndHeaders({{"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"Transfer-Encoding", "chunked"},
                                              {"content-length", "3"},
                                              {"camphormux-generation", "9"},
                                              {"Accept", "text/plain"}});
  ASSERT_EQ(kept.size(), 1U);
  EXPECT_EQ(kept[0].name, "Accept");
}

// Guards against ignored request headers of a caller.
TEST(ParseRequestOptionsTest, ReadsTheHeaders) {
  CallerRequest request;
  request.target = "/venue?x=1";
  request.remote_ip = "127.0.0.1";
  request.headers = {
      {"camphormux-timeout-ms", "250"},
      {"Camphormux-Priority", "urgent"},
      {"Idempotency-Key", "01890A5D-ac96-774b-bcce-b302099a8057"},
      {"Camphormux-Caller", "curator"}};
  const auto options = ParseRequestOptions(request, {10'000}, {10});
  ASSERT_TRUE(options.has_value());
  EXPECT_EQ(options.value().service.value, "venue");
  EXPECT_EQ(options.value().target, "/?x=1");
  EXPECT_EQ(options.value().timeout, core::Millis(250));
  EXPECT_EQ(options.value().priority, admission::Priority::kUrgent);
  EXPECT_EQ(options.value().key->value, "01890a5d-ac96-774b-bcce-b302099a8057");
  EXPECT_EQ(options.value().caller, "curator");
}

}  // namespace
}  // namespace camphormux::gateway
