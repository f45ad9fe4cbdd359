#include "camphormux/workload/validate.hpp"

#include <gtest/gtest.h>

namespace camphormux::workload {
namespace {

JobSpec Valid() {
  JobSpec spec;
  spec.id.value = "5c0e7a21d94b36f8";
  spec.steps.resize(2);
  spec.steps[1].after = {0};
  return spec;
}

std::string FieldOf(const JobSpec& spec) {
  const auto problem = Validate(spec);
  return problem ? problem->field : "";
}

TEST(ValidateTest, AcceptsAValidJob) { EXPECT_EQ(FieldOf(Valid()), ""); }

// Guards against a job that can never run and blocks its queue.
TEST(ValidateTest, AStepCannotWaitForItselfOrALaterOne) {
  JobSpec spec = Valid();
  spec.steps[1].after = {1};
  EXPECT_EQ(FieldOf(spec), "steps[1].after");
  spec.steps[1].after = {7};
  EXPECT_EQ(FieldOf(spec), "steps[1].after");
}

// Guards against a single request that exhausts memory.
TEST(ValidateTest, BoundsTheNumberOfTasks) {
  JobSpec spec = Valid();
  spec.steps[0].count = 0;
  EXPECT_EQ(FieldOf(spec), "steps[0].count");
  spec.steps[0].count = 1'000'000;
  EXPECT_EQ(FieldOf(spec), "steps[0].count");
  spec.steps[0].count = kMaxTasks / 2;
  spec.occurrences = 3;
  EXPECT_EQ(FieldOf(spec), "steps");
}

TEST(ValidateTest, BoundsIdPayloadAndSteps) {
  JobSpec spec = Valid();
  spec.id.value = "5c0e";
  EXPECT_EQ(FieldOf(spec), "id");
  spec = Valid();
  spec.payload.assign(kMaxPayloadBytes + 1, 'x');
  EXPECT_EQ(FieldOf(spec), "payload");
  spec = Valid();
  spec.steps.clear();
  EXPECT_EQ(FieldOf(spec), "steps");
}

// Guards against a job that is accepted although no later lease holder can read
// it.
TEST(ValidateTest, BoundsNamesAmountsAndTimes) {
  const std::string long_name(kMaxNameBytes + 1, 'x');
  JobSpec spec = Valid();
  spec.steps[0].image = long_name;
  EXPECT_EQ(FieldOf(spec), "steps[0].image");
  spec = Valid();
  spec.steps[1].required_label = long_name;
  EXPECT_EQ(FieldOf(spec), "steps[1].required_label");
  spec = Valid();
  spec.steps[1].data_rack.value = long_name;
  EXPECT_EQ(FieldOf(spec), "steps[1].data_rack");
  spec = Valid();
  spec.steps[1].after.assign(kMaxSteps + 1, 0);
  EXPECT_EQ(FieldOf(spec), "steps[1].after");
  spec = Valid();
  spec.steps[0].size.cores.value = kMaxAmount + 1;
  EXPECT_EQ(FieldOf(spec), "steps[0].size");
  spec = Valid();
  spec.steps[0].estimate = core::Millis(kMaxAmount + 1);
  EXPECT_EQ(FieldOf(spec), "steps[0].estimate");
  spec = Valid();
  spec.queue.value = long_name;
  EXPECT_EQ(FieldOf(spec), "queue");
  spec = Valid();
  spec.first_run = core::WallTime(core::Millis(kMaxAmount + 1));
  EXPECT_EQ(FieldOf(spec), "first_run");
  spec = Valid();
  spec.interval = core::Millis(-1);
  EXPECT_EQ(FieldOf(spec), "interval");
}

}  // namespace
}  // namespace camphormux::workload
