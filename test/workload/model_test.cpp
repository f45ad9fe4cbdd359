#include "camphormux/workload/model.hpp"

#include <gtest/gtest.h>

namespace camphormux::workload {
namespace {

Queue MakeQueue(const char* name, const char* prefix) {
  Queue queue;
  queue.name.value = name;
  queue.authority = "pule25.example";
  queue.path_prefix = prefix;
  return queue;
}

// Guards against routing a request to a queue with a shorter prefix.
TEST(ModelTest, TheLongestPrefixWins) {
  Catalog catalog;
  catalog.queues = {MakeQueue("short", "/a/"), MakeQueue("long", "/a/b/")};
  EXPECT_EQ(FindQueue(catalog, "pule25.example:80", "/a/b/1")->name.value,
            "long");
  EXPECT_EQ(FindQueue(catalog, "pule25.example", "/a/c")->name.value, "short");
  EXPECT_EQ(FindQueue(catalog, "other.example", "/a/c"), nullptr);
}

JobSpec ThreeSteps() {
  JobSpec spec;
  spec.steps.resize(3);
  spec.steps[0].count = 2;
  spec.steps[0].estimate = core::Millis(100);
  spec.steps[1].count = 3;
  spec.steps[1].estimate = core::Millis(50);
  spec.steps[2].count = 1;
  spec.steps[2].after = {0, 1};
  spec.steps[2].estimate = core::Millis(10);
  spec.occurrences = 2;
  return spec;
}

// Guards against attributing the end of a run to another task.
TEST(ModelTest, TaskCoordinatesAndPositionsAreInverse) {
  const JobSpec spec = ThreeSteps();
  ASSERT_EQ(TaskCount(spec), 12U);
  for (std::uint32_t task = 0; task < TaskCount(spec); ++task) {
    EXPECT_EQ(PositionOf(spec, PlaceOf(spec, task)), task);
  }
  EXPECT_FALSE(PositionOf(spec, {2, 0, 0}));
  EXPECT_FALSE(PositionOf(spec, {0, 3, 0}));
  EXPECT_FALSE(PositionOf(spec, {0, 2, 1}));
}

// Guards against an objective that adds up steps which run in parallel.
TEST(ModelTest, CriticalPathTakesTheLongestChainThatIsLeft) {
  const JobSpec spec = ThreeSteps();
  EXPECT_EQ(CriticalPath(spec, {}), core::Millis(110));
  EXPECT_EQ(CriticalPath(spec, {true, false, false}), core::Millis(60));
}

}  // namespace
}  // namespace camphormux::workload
