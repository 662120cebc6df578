#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "core/shared.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Identifies a task of a job. The client chooses the job's id.
struct TaskKey {
  std::uint64_t job = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

// The least and the greatest key that a task of the job may have. A range of
// the job's tasks ends at the greatest one, since the highest job id has no
// successor.
constexpr TaskKey FirstTaskOf(std::uint64_t job) { return {job, 0, 0}; }
constexpr TaskKey LastTaskOf(std::uint64_t job) {
  using Limits = std::numeric_limits<std::uint32_t>;
  return {job, Limits::max(), Limits::max()};
}

// Identifies a run of a task. Later runs of the same task have higher numbers,
// also if another entry starts them.
struct RunKey {
  TaskKey task;
  std::uint64_t number = 0;
  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

// Resources that a task needs or that a minion provides.
struct Resources {
  // Thousandths of a core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend bool operator==(const Resources&, const Resources&) = default;
};

// Whether `available` covers `needs`.
inline bool Fits(const Resources& needs, const Resources& available) {
  return needs.cpu_millis <= available.cpu_millis &&
         needs.memory_mb <= available.memory_mb &&
         needs.accelerators <= available.accelerators;
}

// Where the tasks of a step may run, and where they run fastest.
struct PlacementRules {
  // Label that the minion must have; empty if any will do.
  std::string required_label{};
  // Rack of the tasks' data; empty if they run equally fast on all racks.
  std::string data_rack{};
  // At most this many tasks of the step run on one minion; 0 is no limit.
  std::uint32_t max_per_minion = 0;
  // The tasks run slower unless all of them run on one rack.
  bool is_colocated = false;
  friend bool operator==(const PlacementRules&,
                         const PlacementRules&) = default;
};

// One step of a job: `count` equal tasks.
struct StepSpec {
  std::uint32_t count = 0;
  Resources needs;
  // The client's estimate of the duration of one task; often inaccurate.
  milliseconds estimate{0};
  PlacementRules rules{};
  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

// A job. Only its entry keeps it; the client gets a reply when it has ended.
struct JobSpec {
  std::uint64_t id = 0;
  // Passed to the minion unchanged.
  Bytes payload;
  std::vector<StepSpec> steps;
  // Names a feature that the job needs and this release does not support; empty
  // if there is none.
  std::string unsupported{};
  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// How a run has ended.
enum class RunEnd {
  kDone,
  // The task or its minion failed.
  kFailed,
  // The agent stopped it because it made no progress.
  kStalled,
  // Stopped on request.
  kStopped,
  // Its lease expired, or its minion left or was replaced.
  kLost,
};

// Why an agent did not start a run.
enum class StartRefusal {
  kNoRoom,
  // The minion is draining, suspended, absent or not yet known.
  kNotAccepting,
  // The minion has seen the same or a higher run number.
  kOldNumber,
  // The minion rejected the task.
  kRejected,
};

const char* ToString(RunEnd end);
const char* ToString(StartRefusal refusal);

// Returns the name of the task on the wire and in logs: JOB.STEP.INDEX, with
// the job id in hexadecimal.
std::string ToText(const TaskKey& task);
// Returns the job id as 16 hexadecimal digits.
std::string JobIdToText(std::uint64_t job);

}  // namespace dottereltrack::pool
