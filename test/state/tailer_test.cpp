#include "camphormux/state/tailer.hpp"

#include <functional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <gtest/gtest.h>

namespace camphormux::state {
namespace {

/// A log whose reads fail until `fail` is 0.
struct FakeLog {
  log::LogPort Port() {
    log::LogPort port;
    port.read = [this](const std::string&, core::LogOffset, std::size_t,
                       core::Millis wait,
                       const std::function<void(log::ReadAnswer)>& done) {
      waits.push_back(wait);
      if (waits.size() > reads) {
        loop.stop();
        return;
      }
      const bool fails = fail > 0;
      fail -= fails ? 1 : 0;
      asio::post(loop, [done, fails] {
        if (fails) {
          done(log::ReadFailure{log::ReadError::kNoAnswer, std::nullopt});
        } else {
          done(log::ReadResult{});
        }
      });
    };
    return port;
  }

  asio::io_context loop;
  std::size_t reads = 4;
  int fail = 0;
  std::vector<core::Millis> waits;
};

// Guards against a read after a failure that waits for records: over a link
// that drops bytes silently it ends only by its timeout, which is longer by
// the wait, and a text would not be in force within 5 s after the link heals.
TEST(TailerTest, ReadsWithoutWaitingAfterAFailure) {
  FakeLog log;
  log.fail = 2;
  Tailer tailer(log.loop, log.Port(), [](const FleetState&) {});
  tailer.Start();
  log.loop.run();
  ASSERT_EQ(log.waits.size(), 5U);
  EXPECT_GT(log.waits[0], core::Millis(0));
  EXPECT_EQ(log.waits[1], core::Millis(0));
  EXPECT_EQ(log.waits[2], core::Millis(0));
  EXPECT_GT(log.waits[3], core::Millis(0));
  EXPECT_TRUE(tailer.at_end());
}

}  // namespace
}  // namespace camphormux::state
