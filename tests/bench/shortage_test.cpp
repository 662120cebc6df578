#include <catch2/catch.hpp>

#include "pool_run.h"
#include "shortage/measure.h"

// Checks what callers get in periods in which capacity is short, on virtual
// time. One seed, so the results are deterministic.
namespace dottereltrack::bench {
namespace {

// Bounds of a pattern. Before the rules of docs/design/shortage.md, the shares
// were twice as high where they are below 0.1, and the value 0.03 to 0.1 lower.
struct Row {
  LoadPattern (*make)(const Demand& demand);
  Demand demand;
  // Share of the jobs of the short-task queue that are late or failed.
  double max_bad_short_jobs;
  double max_bad_long_jobs;
  double min_value;
};

}  // namespace

// Guards against periods in which one fault or burst makes the jobs of all
// queues late, and against refusals shortly before the caller gives up anyway.
TEST_CASE("callers are served when capacity is short", "[bounds][shortage]") {
  const auto row = GENERATE(
      values<Row>({{&BurstOfLongTasks, MalabarDemand(), 0.01, 0.01, 0.99},
                   {&BurstOfLongTasks, KymaDemand(), 0.03, 0.05, 0.97},
                   {&LateStarts, MalabarDemand(), 0.04, 0.05, 0.98},
                   {&LateStarts, KymaDemand(), 0.08, 0.10, 0.95},
                   {&MinionsLost, MalabarDemand(), 0.05, 0.19, 0.93},
                   {&MinionsLost, KymaDemand(), 0.25, 0.40, 0.74},
                   {&SevereOverload, MalabarDemand(), 0.25, 0.45, 0.70},
                   {&SevereOverload, KymaDemand(), 0.40, 0.75, 0.50}}));
  const LoadPattern pattern = row.make(row.demand);
  const PatternOutcome it = MeasurePattern(pattern, 1, &RunPool);
  CAPTURE(row.demand.deployment.name, pattern.name);
  const QueueOutcome& short_jobs = it.queues[kShortTaskQueue];
  const QueueOutcome& long_jobs = it.queues[kLongTaskQueue];
  CHECK(short_jobs.late + short_jobs.failed <= row.max_bad_short_jobs);
  CHECK(long_jobs.late + long_jobs.failed <= row.max_bad_long_jobs);
  CHECK(it.value >= row.min_value);
  // A caller that is refused early has time to do something else. The mean of
  // a few refusals depends on single jobs, whose time ran out by a lost start.
  for (const QueueOutcome& queue : it.queues) {
    CAPTURE(queue.queue);
    CHECK(queue.max_refusal_age < 1);
    if (queue.refused >= 0.01) CHECK(queue.refusal_age <= 0.7);
  }
  CHECK(it.double_starts == 0);
}

}  // namespace dottereltrack::bench
