#include "endpoint/task_plan.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace dottereltrack::standins {
namespace {

// Upper limit; a longer time in a payload is an error in the test.
constexpr std::int64_t kMaxRunTimeMs = 600'000;

std::int64_t ParseRunTimeMs(const std::string& payload) {
  std::int64_t value = 0;
  std::from_chars(payload.data(), payload.data() + payload.size(), value);
  return std::clamp<std::int64_t>(value, 0, kMaxRunTimeMs);
}

}  // namespace

TaskPlan PlanTask(const EndpointOptions& options, const std::string& payload) {
  const double ms =
      static_cast<double>(ParseRunTimeMs(payload)) * options.speed;
  TaskPlan plan;
  plan.run_time =
      std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000)) +
      options.extra_delay;
  plan.sends_answer = options.mode != TaskMode::kDrop;
  plan.response = options.mode == TaskMode::kFail
                      ? Response{500, "the minion fails every task"}
                      : Response{200, "result of " + payload};
  return plan;
}

}  // namespace dottereltrack::standins
