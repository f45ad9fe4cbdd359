#include "camphormux/cli/publish.hpp"

#include <deque>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "camphormux/cli/bootstrap.hpp"
#include "camphormux/cli/history.hpp"
#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/snapshot.hpp"
#include "camphormux/state/state_codec.hpp"

namespace camphormux::cli {
namespace {

constexpr core::Millis kLimit = std::chrono::seconds(20);

/// In-memory log; `answers` sets how the next appends are answered.
struct FakeLog {
  enum class Answer {
    kNormal,
    kLostAfterAppend,
    kLostBeforeAppend,
    kUnavailable
  };

  asio::io_context loop;
  std::vector<std::string> records;
  std::deque<Answer> answers;
  std::size_t appends = 0;
  std::size_t earliest = 0;

  log::AppendResult Append(std::string data) {
    ++appends;
    const Answer answer = answers.empty() ? Answer::kNormal : answers.front();
    if (!answers.empty()) {
      answers.pop_front();
    }
    if (answer == Answer::kUnavailable) {
      return log::AppendError::kUnavailable;
    }
    if (answer == Answer::kLostBeforeAppend) {
      return log::AppendError::kNoAnswer;
    }
    records.push_back(std::move(data));
    return answer == Answer::kNormal
               ? log::AppendResult(core::LogOffset{records.size() - 1})
               : log::AppendResult(log::AppendError::kNoAnswer);
  }

  log::LogPort Port() {
    log::LogPort port;
    port.append = [this](const std::string&, const std::string& data,
                         auto done) {
      asio::post(loop, [this, data, done] { done(Append(data)); });
    };
    port.read = [this](const std::string&, core::LogOffset from, std::size_t,
                       core::Millis, auto done) {
      asio::post(loop, [this, from, done] {
        if (from.value < earliest) {
          done(log::ReadFailure{log::ReadError::kBelowEarliest,
                                core::LogOffset{earliest}});
          return;
        }
        log::ReadResult result{
            core::LogOffset{earliest}, core::LogOffset{records.size()}, {}};
        for (std::size_t i = from.value; i < records.size(); ++i) {
          result.records.push_back({core::LogOffset{i}, {}, records[i]});
        }
        done(std::move(result));
      });
    };
    return port;
  }
};

std::string Text(int min_hosts) {
  return "[deployment]\nname = test\nspare_pool = web\n[zone a]\nregion = r\n"
         "[service web]\nmin_hosts = " +
         std::to_string(min_hosts) + "\n";
}

PublishRequest Request(const std::string& id, int min_hosts,
                       std::optional<core::Revision> base) {
  return {core::AppendId{id}, "amina", Text(min_hosts), base};
}

// Guards against a publisher that reports a lost answer as a failure, or whose
// retry makes a second revision of the text.
TEST(PublishTest, ReadsOutcomeBackWhenAnswersAreLost) {
  using Answer = FakeLog::Answer;
  for (const Answer answer :
       {Answer::kLostAfterAppend, Answer::kLostBeforeAppend,
        Answer::kUnavailable}) {
    FakeLog log;
    log.answers = {answer};
    LogSession session(log.loop, log.Port(), kLimit);
    const auto result = PublishText(session, Request("1", 1, {}), kLimit);
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result.value().outcome.accepted, core::Revision{1});
    EXPECT_EQ(result.value().in_force.source, Text(1));
  }
}

// Guards against two racing publishers that are both told "accepted".
TEST(PublishTest, OneOfTwoRacingPublishersGetsAConflict) {
  FakeLog log;
  LogSession session(log.loop, log.Port(), kLimit);
  ASSERT_TRUE(PublishText(session, Request("1", 1, {}), kLimit).has_value());
  const auto first =
      PublishText(session, Request("2", 2, core::Revision{1}), kLimit);
  const auto second =
      PublishText(session, Request("3", 3, core::Revision{1}), kLimit);
  ASSERT_TRUE(first.has_value() && second.has_value());
  EXPECT_EQ(first.value().outcome.accepted, core::Revision{2});
  EXPECT_FALSE(second.value().outcome.accepted);
  EXPECT_EQ(second.value().in_force.source, Text(2));
}

// Guards against an edit that replaces a text that its author has not seen.
TEST(PublishTest, RequiresBaseForLaterTexts) {
  FakeLog log;
  LogSession session(log.loop, log.Port(), kLimit);
  ASSERT_TRUE(PublishText(session, Request("1", 1, {}), kLimit).has_value());
  const auto result = PublishText(session, Request("2", 2, {}), kLimit);
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error(), PublishError::kBaseMissing);
  EXPECT_EQ(log.appends, 1U);
}

// Guards against an invalid text on the log that changes the state or blocks
// later publishers.
TEST(PublishTest, SkipsInvalidTextOnTheLog) {
  FakeLog log;
  log.records = {
      "not a record",
      state::EncodeRecords({state::Publish{
          core::AppendId{"0"}, "x", {}, "[nonsense]\na = b\n", {}}})};
  LogSession session(log.loop, log.Port(), kLimit);
  const auto result = PublishText(session, Request("1", 1, {}), kLimit);
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result.value().outcome.accepted, core::Revision{1});
  const auto history = ReadHistory(session);
  ASSERT_TRUE(history.has_value());
  ASSERT_EQ(history.value().size(), 2U);
  EXPECT_FALSE(history.value()[0].outcome.accepted);
}

// Guards against a state that is built only from the records that the log still
// retains: it would miss the text in force, and outcomes would be wrong.
TEST(PublishTest, LoadsSnapshotWhenRecordsExpired) {
  FakeLog log;
  LogSession session(log.loop, log.Port(), kLimit);
  ASSERT_TRUE(PublishText(session, Request("1", 1, {}), kLimit).has_value());
  state::Follower follower;
  ASSERT_TRUE(session.Follow(follower).has_value());
  log.earliest = log.records.size();
  const auto lost = PublishText(session, Request("2", 2, {}), kLimit);
  ASSERT_FALSE(lost.has_value());
  EXPECT_EQ(lost.error(), PublishError::kNoSnapshot);
  EXPECT_EQ(log.records.size(), log.earliest);
  for (const auto& chunk : state::MakeSnapshot(follower.state, "s", false)) {
    log.records.push_back(state::EncodeRecords({chunk}));
  }
  const auto no_base = PublishText(session, Request("3", 2, {}), kLimit);
  ASSERT_FALSE(no_base.has_value());
  EXPECT_EQ(no_base.error(), PublishError::kBaseMissing);
  const auto accepted =
      PublishText(session, Request("4", 2, core::Revision{1}), kLimit);
  ASSERT_TRUE(accepted.has_value());
  EXPECT_EQ(accepted.value().outcome.accepted, core::Revision{2});
  const auto history = ReadHistory(session);
  ASSERT_TRUE(history.has_value());
  ASSERT_EQ(history.value().size(), 1U);
  EXPECT_EQ(history.value()[0].outcome.accepted, core::Revision{2});
}

BootstrapRequest MakeBootstrapRequest(std::uint64_t floor) {
  return {"amina", Text(3), {41}, floor, core::Millis{1}};
}

// Guards against a fleet that cannot be started after the log and all processes
// lost the state, and against epochs and generations that the platform rejects
// because they are not above the earlier ones.
TEST(BootstrapTest, NumbersNewStateAboveEarlierStates) {
  FakeLog log;
  log.records.assign(30, "lost");
  log.earliest = 30;
  LogSession session(log.loop, log.Port(), kLimit);
  ASSERT_FALSE(Bootstrap(session, MakeBootstrapRequest(1000)));
  state::Follower follower;
  ASSERT_TRUE(session.Follow(follower).has_value());
  state::FleetState& state = follower.state;
  EXPECT_EQ(state.text.revision.value, 42U);
  EXPECT_TRUE(state.leases.at({"a"}).released);
  EXPECT_FALSE(
      state::Apply(state, state::LeaseClaim{{"a"}, {"c"}, {1001}}, state.next));
  EXPECT_FALSE(state::Apply(
      state,
      state::HostAdded{{"a"}, {1001}, {"h"}, {"r"}, {}, {"127.0.0.1", 80}},
      state.next));
  EXPECT_EQ(state.hosts.at({"h"}).generation.value, 1000U);
  EXPECT_EQ(state.hosts.at({"h"}).phase, state::HostPhase::kReleased);
  const auto decoded = state::DecodeState(state::EncodeState(state));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(state::Digest(decoded.value()), state::Digest(state));
  EXPECT_EQ(Bootstrap(session, MakeBootstrapRequest(2000)),
            BootstrapError::kLogHasState);
}

// Guards against a bootstrap that replaces the state of live processes or of a
// log that still has a state.
TEST(BootstrapTest, IsRefusedWhileLogOrProcessHasState) {
  FakeLog empty;
  LogSession unused(empty.loop, empty.Port(), kLimit);
  EXPECT_EQ(Bootstrap(unused, MakeBootstrapRequest(1000)),
            BootstrapError::kLogHasState);
  FakeLog log;
  log.records.assign(30, "lost");
  log.earliest = 30;
  LogSession session(log.loop, log.Port(), kLimit);
  auto request = MakeBootstrapRequest(1000);
  request.quiet_period = core::Millis{50};
  asio::steady_timer renewal(log.loop, core::Millis{1});
  renewal.async_wait(
      [&](const asio::error_code&) { log.records.emplace_back("renewal"); });
  EXPECT_EQ(Bootstrap(session, request), BootstrapError::kLogInUse);
  request.quiet_period = core::Millis{1};
  request.no_process_has_state = [] { return false; };
  EXPECT_EQ(Bootstrap(session, request), BootstrapError::kPeerHasState);
  EXPECT_EQ(log.appends, 0U);
}

}  // namespace
}  // namespace camphormux::cli
