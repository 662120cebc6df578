#include "core/entry/minion_health.h"

namespace dottereltrack {
namespace {

// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.2;

}  // namespace

double TimeRatioOf(const EntryBoard& board, const std::string& minion,
                   const std::string& kind, const Now& now) {
  (void)now;
  const MinionSpeed* speed = board.speeds.Find({minion, kind});
  return speed == nullptr ? 1.0 : speed->time_ratio;
}

EntryChanges LearnFromResult(const EntryBoard& board, const AgentRow& agent,
                             const TaskResult& result, const Now& now) {
  EntryChanges changes;
  const Task* task = board.tasks.Find(result.id);
  const bool ours = task != nullptr && task->state == TaskState::kSent &&
                    task->agent == agent.id;
  if (!ours || result.state != LedgerState::kDone) return changes;
  const Job& job = *board.jobs.Find(result.id.submission);
  const TaskSpec& spec = job.body->tasks[result.id.index];
  MinionSpeed speed;
  speed.minion = agent.minion.name;
  speed.kind = job.body->kind;
  if (const MinionSpeed* old = board.speeds.Find(speed.Key())) speed = *old;
  const double sample =
      static_cast<double>(result.run_time.count()) /
      static_cast<double>(microseconds(spec.declared_time).count());
  speed.time_ratio += kSampleWeight * (sample - speed.time_ratio);
  speed.samples += 1;
  speed.updated_at = now.boot;
  changes.Add(Put<MinionSpeed>{speed});
  return changes;
}

}  // namespace dottereltrack
