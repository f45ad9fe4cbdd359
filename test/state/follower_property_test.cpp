#include <gtest/gtest.h>

#include "camphormux/state/codec.hpp"
#include "camphormux/state/fold.hpp"
#include "camphormux/state/follower.hpp"
#include "commands.hpp"

namespace camphormux::state {
namespace {

constexpr std::size_t kCommands = 400;

/// One stream in memory.
struct MemoryLog {
  std::vector<log::StoredRecord> records;
  core::LogOffset earliest;

  void Append(const Record& record) {
    const core::LogOffset offset{records.size()};
    records.push_back({offset, core::WallTime{core::Millis{offset.value}},
                       EncodeRecords({record})});
  }

  /// Lets a follower read at most `count` records.
  void ReadInto(Follower& follower, std::size_t count) const {
    if (follower.read_from < earliest) {
      OnBelowEarliest(follower, earliest);
      return;
    }
    log::ReadResult result{earliest, {records.size()}, {}};
    for (std::size_t i = follower.read_from.value;
         i < records.size() && result.records.size() < count; ++i) {
      result.records.push_back(records[i]);
    }
    (void)OnRead(follower, result);
  }

  void ReadToEnd(Follower& follower) const {
    // A search, a load and the rest take at most three passes.
    for (std::size_t i = 0; i < 4 + 3 * records.size(); ++i) {
      ReadInto(follower, 7);
    }
  }
};

/// Runs commands with snapshots and expiry among them and checks followers.
class Scenario {
 public:
  void Run(const std::vector<Command>& commands) {
    for (const Command& command : commands) {
      const core::LogOffset before = reader_.state.next;
      Do(command);
      if (reader_.state.next != before) {
        CheckServed(reader_);
      }
      CheckMark();
      RC_ASSERT(reader_.state.text.revision >= seen_);
      seen_ = reader_.state.text.revision;
    }
    log_.ReadToEnd(reader_);
    CheckServed(reader_);
    RC_ASSERT(!snapshot_known_ || reader_.at_end);
    RC_CLASSIFY(reader_.searches > 0 && reader_.at_end, "reader reloaded");
    RC_CLASSIFY(loads_ > 0, "new reader loaded a snapshot");
  }

 private:
  void Do(const Command& command) {
    if (command.kind == 15 && command.phase < 2) {
      WriteSnapshotPart(command.deviation);
    } else if (command.kind == 15 && command.phase == 2) {
      Expire(command);
    } else if (command.kind == 14 && command.phase < 3) {
      log_.ReadInto(reader_, static_cast<std::size_t>(command.deviation) + 1);
    } else if (command.kind == 14) {
      StartNewReader();
    } else {
      Append(ToRecord(truth_, command, log_.records.size()));
    }
  }

  void Append(const Record& record) {
    log_.Append(record);
    (void)ApplyEncoded(truth_, log_.records.back().data,
                       log_.records.back().offset);
    digests_.push_back(Digest(truth_));
  }

  // Appends some chunks of a snapshot; a small chunk size makes many.
  void WriteSnapshotPart(int count) {
    if (pending_.empty()) {
      pending_ =
          Split(MakeSnapshot(truth_, "s" + std::to_string(digests_.size()),
                             /*recovery=*/false));
      pending_at_ = truth_.next;
    }
    for (int i = 0; i < count && !pending_.empty(); ++i) {
      Append(pending_.front());
      pending_.erase(pending_.begin());
      if (pending_.empty()) {
        complete_.push_back(pending_at_);
        snapshot_known_ = true;
      }
    }
  }

  static std::vector<SnapshotChunk> Split(std::vector<SnapshotChunk> whole) {
    SnapshotChunk chunk = whole.front();
    const std::string data = chunk.data;
    const std::size_t size = data.size() / 5 + 1;
    chunk.count = static_cast<std::uint32_t>((data.size() + size - 1) / size);
    std::vector<SnapshotChunk> parts;
    for (std::uint32_t i = 0; i < chunk.count; ++i) {
      chunk.index = i;
      chunk.data = data.substr(i * size, size);
      parts.push_back(chunk);
    }
    return parts;
  }

  // Expires up to the last complete snapshot, or beyond it.
  void Expire(const Command& command) {
    if (complete_.empty() && command.deviation != 0) {
      return;
    }
    const bool beyond = command.deviation == 0;
    log_.earliest = beyond ? core::LogOffset{log_.records.size()}
                           : std::max(log_.earliest, complete_.back());
    snapshot_known_ = !beyond;
    if (beyond) {
      complete_.clear();
      pending_.clear();
    }
  }

  void StartNewReader() {
    Follower fresh;
    log_.ReadToEnd(fresh);
    CheckServed(fresh);
    if (snapshot_known_) {
      RC_ASSERT(!WhyNotReady(fresh).has_value());
      RC_ASSERT(fresh.at_end);
      loads_ += fresh.searches > 0 ? 1 : 0;
      RC_ASSERT(fresh.state.next == truth_.next);
    }
  }

  // Equal marks must mean equal text and hosts; a gateway that took a changed
  // state for an unchanged one would go on sending to a draining host.
  void CheckMark() {
    const FleetState& state = reader_.state;
    if (state.mark == marked_.mark) {
      RC_ASSERT(state.hosts == marked_.hosts);
      RC_ASSERT(state.text.source == marked_.text.source);
      RC_ASSERT(state.text.revision == marked_.text.revision);
    }
    marked_ = state;
    // Otherwise processes with equal states would tell different digests.
    RC_ASSERT(Digest(state, cache_) == Digest(state));
  }

  // What a follower serves is the fold at its offset, never a part of it.
  void CheckServed(const Follower& follower) {
    if (follower.state.next.value > 0) {
      RC_ASSERT(Digest(follower.state) ==
                digests_[follower.state.next.value - 1]);
    }
    RC_ASSERT(!follower.ready || follower.state.next.value > 0 ||
              log_.earliest.value == 0);
  }

  MemoryLog log_;
  FleetState truth_;
  std::vector<std::uint64_t> digests_;  ///< After each offset.
  std::vector<SnapshotChunk> pending_;
  core::LogOffset pending_at_;
  std::vector<core::LogOffset> complete_;
  bool snapshot_known_ = true;  ///< Or nothing has expired.
  Follower reader_;
  DigestCache cache_;
  FleetState marked_;  ///< Served state at the last check of its mark.
  core::Revision seen_;
  int loads_ = 0;
};

// Guards against a reader that serves part of a state, or another state than
// the fold's, when it starts late or records expire before it reads them.
TEST(FollowerPropertyTest, ServesOnlyTheFold) {
  EXPECT_TRUE(rc::check([] { Scenario().Run(*Commands(kCommands)); }));
}

FleetState StateWithRevision(std::uint64_t revision, std::uint64_t next) {
  FleetState state;
  for (std::uint64_t i = 0; i < revision; ++i) {
    (void)Apply(
        state,
        WholeText("p" + std::to_string(i), i, ValidText(std::to_string(i))),
        {i});
  }
  state.next = {next};
  return state;
}

Follower Survivor(std::uint64_t revision, std::uint64_t next) {
  Follower follower;
  follower.state = StateWithRevision(revision, next);
  follower.read_from = follower.state.next;
  follower.ready = true;
  return follower;
}

// Guards against an accepted revision that is lost when the log loses all
// records and the survivors know different revisions.
TEST(FollowerTest, HighestRevisionSurvivesALogThatLostEverything) {
  for (const bool highest_first : {false, true}) {
    MemoryLog log;
    for (int i = 0; i < 20; ++i) {
      log.Append(LeaseClaim{{"x"}, {"c"}, {99}});
    }
    log.earliest = {20};
    Follower low = Survivor(2, 15);
    Follower high = Survivor(3, 12);
    std::vector<Follower*> writers = {&low, &high};
    if (highest_first) {
      std::swap(writers[0], writers[1]);
    }
    for (Follower* writer : writers) {
      log.ReadToEnd(*writer);
      if (HasGap(*writer)) {
        log.Append(MakeSnapshot(writer->state,
                                "s" + std::to_string(log.records.size()),
                                /*recovery=*/true)
                       .front());
      }
    }
    Follower fresh;
    for (Follower* follower : {&low, &high, &fresh}) {
      log.ReadToEnd(*follower);
      EXPECT_TRUE(follower->at_end);
      EXPECT_EQ(follower->state.text.revision.value, 3U);
      EXPECT_EQ(Digest(follower->state), Digest(low.state));
    }
  }
}

// Guards against readiness without a state, and a reason that tells nothing.
TEST(FollowerTest, TellsWhyItIsNotReady) {
  MemoryLog log;
  log.Append(LeaseClaim{{"a"}, {"c"}, {1}});
  log.Append(LeaseRenew{{"a"}, {"c"}, {1}});
  log.earliest = {1};
  Follower fresh;
  EXPECT_EQ(WhyNotReady(fresh), "the log is not read to its end");
  log.ReadToEnd(fresh);
  EXPECT_EQ(WhyNotReady(fresh), "the log holds no complete snapshot");
  EXPECT_EQ(fresh.state.leases.size(), 0U);
}

}  // namespace
}  // namespace camphormux::state
