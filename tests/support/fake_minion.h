#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/pool/agent/changes.h"
#include "core/pool/agent/events.h"
#include "support/virtual_clock.h"

namespace dottereltrack::testing {

// Records the runs of all minions and the violations of their rules, such as
// two concurrent runs of one task.
struct RunLedger {
  struct LiveRun {
    std::string minion;
    std::uint64_t number = 0;
  };
  std::map<pool::TaskKey, LiveRun> live;
  // Number of minions that each task has crashed.
  std::map<pool::TaskKey, int> crashes;
  std::map<std::string, int> starts_by_minion;
  std::uint64_t starts = 0;
  std::vector<std::string> violations;

  void Begin(const pool::RunKey& run, const std::string& minion);
  void End(const pool::RunKey& run);
  // Whether a run of any task of the job has begun.
  bool HasBegun(std::uint64_t job) const;
  // Number of runs of the job's tasks that have begun.
  int CountRuns(std::uint64_t job) const;

 private:
  std::map<std::uint64_t, int> begun_jobs_;
  std::map<pool::TaskKey, int> starts_after_third_crash_;
};

struct FakeMinionOptions {
  std::string name;
  Endpoint address;
  std::string service;
  std::string data_centre;
  pool::Resources capacity;
  // Ratio of the actual run time to the time in the payload.
  double time_ratio = 1.0;
  // Rate of the minion's clock relative to the virtual clock.
  double clock_rate = 1.0;
  std::uint64_t seed = 1;
};

enum class MinionMode {
  kUp,
  // No call is answered or executed.
  kSilent,
  // Connections are refused and nothing runs.
  kDown,
};

// Simulates a minion on a virtual clock, with leases, numbered run ends,
// fencing and calls that may be lost or delayed. A payload lists, for each
// step, the run time of its tasks in milliseconds and the CPU that each takes
// in thousandths of a core.
class FakeMinion {
 public:
  FakeMinion(VirtualClock* clock, RunLedger* ledger, FakeMinionOptions options);

  // Returns the minion's next report about itself.
  pool::MinionReport Report();

  // Each invokes its callback at most once.
  void Start(const pool::CallStart& call,
             const std::function<void(pool::CallAnswer)>& done);
  void Stop(const pool::CallStop& call,
            const std::function<void(pool::CallAnswer)>& done);
  void Look(const pool::CallPoll& call,
            const std::function<void(pool::PollAnswered)>& done);

  // Crash ends all runs without recording their ends. Recover starts a new
  // instance, which keeps the id if `same_id`.
  void Crash();
  void Recover(bool same_id);
  void SetSilent(bool silent);
  void SetDraining(bool draining) { draining_ = draining; }
  void SetFailing(bool failing) { failing_ = failing; }
  void SetTimeRatio(double time_ratio) { options_.time_ratio = time_ratio; }
  // Share of the calls that are executed, but whose answer is lost.
  void SetLostAnswerShare(double share) { lost_answer_share_ = share; }
  // Share of the starts and stops that are executed 2 to 12 s late, without an
  // answer.
  void SetLateCommandShare(double share) { late_command_share_ = share; }

  MinionMode mode() const { return mode_; }
  std::size_t run_count() const { return runs_.size(); }

 private:
  struct Run {
    pool::RunKey key;
    std::int64_t cpu_millis = 0;
    BootTime started_at{0};
    BootTime duration{0};
    bool stopping = false;
  };

  std::uint64_t ClockMs() const;
  void ExtendLease(std::uint64_t ends_ms);
  void CheckLease(std::uint64_t epoch);
  void Finish(const pool::RunKey& run, pool::RunEnd end, std::uint64_t epoch);
  void CheckCapacity();
  void CrashUnder(const pool::TaskKey& task, std::uint64_t epoch);
  pool::CallAnswer DoStart(const pool::CallStart& call);
  pool::CallAnswer DoStop(const pool::CallStop& call);
  pool::PollAnswered ListRuns(const pool::CallPoll& call) const;
  bool IsForOtherInstance(const pool::MinionReport& addressed) const;
  bool IsStaleFencingToken(std::uint64_t token);
  bool HappensWithProbability(double share);
  // Executes a start or stop now or late, with or without an answer.
  void DeliverCommand(const std::function<pool::CallAnswer()>& command,
                      const std::function<void(pool::CallAnswer)>& done);

  VirtualClock* clock_;
  RunLedger* ledger_;
  FakeMinionOptions options_;
  std::mt19937_64 random_;
  MinionMode mode_ = MinionMode::kUp;
  bool draining_ = false;
  bool failing_ = false;
  double lost_answer_share_ = 0;
  double late_command_share_ = 0;

  // State of the current instance.
  std::uint64_t epoch_ = 0;
  std::string id_;
  BootTime started_at_{0};
  std::uint64_t started_wall_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t highest_token_ = 0;
  std::uint64_t lease_ends_ms_ = 0;
  std::map<pool::TaskKey, Run> runs_;
  std::map<pool::TaskKey, std::uint64_t> highest_number_;
  std::vector<pool::ListedEnd> ends_;
  std::uint64_t last_end_ = 0;
  std::vector<std::function<void()>> end_waiters_;
};

}  // namespace dottereltrack::testing
