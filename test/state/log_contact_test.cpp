#include "camphormux/state/log_contact.hpp"

#include <gtest/gtest.h>

namespace camphormux::state {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::MonotonicTime kStart{std::chrono::hours(1)};

// Guards against a warning of every process that starts, which hides those of
// processes that are cut off.
TEST(LogContactTest, AStartingProcessIsNotCutOff) {
  LogContact contact;
  EXPECT_FALSE(UpdateContact(contact, {}, kStart));
  EXPECT_FALSE(contact.cut_off);
}

// Guards against a process that counts as converged although its threads do
// not use the state yet, and against a lost time to converge.
TEST(LogContactTest, MeasuresTheCutAndTheTimeToConverge) {
  LogContact contact;
  LogViewTimes times{kStart, kStart, true};
  EXPECT_FALSE(UpdateContact(contact, times, kStart + seconds(10)));
  const auto lost = UpdateContact(contact, times, kStart + milliseconds(10100));
  ASSERT_TRUE(lost);
  EXPECT_TRUE(lost->cut_off);
  // The log answers, but the answer is not its end.
  times.answered = kStart + seconds(30);
  EXPECT_FALSE(UpdateContact(contact, times, kStart + seconds(30)));
  times = {kStart + seconds(31), kStart + seconds(31), false};
  EXPECT_FALSE(UpdateContact(contact, times, kStart + seconds(31)));
  times.in_force = true;
  const auto back = UpdateContact(contact, times, kStart + seconds(32));
  ASSERT_TRUE(back);
  EXPECT_FALSE(back->cut_off);
  EXPECT_EQ(back->cut_for, seconds(30));
  EXPECT_EQ(back->converge, seconds(2));
  EXPECT_FALSE(contact.cut_off);
}

}  // namespace
}  // namespace camphormux::state
