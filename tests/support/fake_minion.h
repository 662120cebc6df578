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

// What all minions have run; notes what must not happen.
struct RunLedger {
  struct LiveRun {
    std::string minion;
    std::uint64_t number = 0;
  };
  std::map<pool::TaskKey, LiveRun> live;
  std::uint64_t starts = 0;
  std::vector<std::string> violations;

  void Begin(const pool::RunKey& run, const std::string& minion);
  void End(const pool::RunKey& run);
  // Whether any task of the job has begun.
  bool HasBegun(std::uint64_t job) const;

 private:
  std::map<std::uint64_t, int> begun_jobs_;
};

struct FakeMinionOptions {
  std::string name;
  Endpoint address;
  std::string service;
  pool::Resources capacity;
  // Run time over the payload's time.
  double time_ratio = 1.0;
  // Speed of the minion's clock.
  double clock_rate = 1.0;
  std::uint64_t seed = 1;
};

enum class MinionMode {
  kUp,
  // No call gets an answer, and none is carried out.
  kSilent,
  // Connections are refused; nothing runs.
  kDown,
};

// A minion on a virtual clock, with leases, numbered ends, fencing and calls
// that may be lost or come late. A payload lists, for each step, the run time
// of its tasks in milliseconds and what one takes in thousandths of a core.
class FakeMinion {
 public:
  FakeMinion(VirtualClock* clock, RunLedger* ledger, FakeMinionOptions options);

  // The next report about itself.
  pool::MinionReport Report();

  // Each calls back at most once.
  void Start(const pool::CallStart& call,
             const std::function<void(pool::CallAnswer)>& done);
  void Stop(const pool::CallStop& call,
            const std::function<void(pool::CallAnswer)>& done);
  void Look(const pool::CallPoll& call,
            const std::function<void(pool::PollAnswered)>& done);

  // Everything that runs ends without a trace. A new instance follows with
  // Recover; it keeps its id if `same_id`.
  void Crash();
  void Recover(bool same_id);
  void SetSilent(bool silent);
  void SetDraining(bool draining) { draining_ = draining; }
  void SetFailing(bool failing) { failing_ = failing; }
  void SetTimeRatio(double time_ratio) { options_.time_ratio = time_ratio; }
  // Share of the calls that are carried out without an answer.
  void SetLostShare(double share) { lost_share_ = share; }
  // Share of the starts and stops that are carried out 2 to 12 s late, without
  // an answer.
  void SetLateShare(double share) { late_share_ = share; }

  MinionMode mode() const { return mode_; }
  std::size_t run_count() const { return runs_.size(); }

 private:
  struct Run {
    pool::RunKey key;
    std::int64_t cpu_millis = 0;
    BootTime started_at{0};
    BootTime length{0};
    bool stopping = false;
  };

  std::uint64_t ClockMs() const;
  void ExtendLease(std::uint64_t ends_ms);
  void CheckLease(std::uint64_t life);
  void Finish(const pool::RunKey& run, pool::RunEnd end, std::uint64_t life);
  void CheckCapacity();
  pool::CallAnswer DoStart(const pool::CallStart& call);
  pool::CallAnswer DoStop(const pool::CallStop& call);
  pool::PollAnswered Lists(const pool::CallPoll& call) const;
  bool IsOther(const pool::MinionReport& addressed) const;
  bool IsFenced(std::uint64_t token);
  bool Chance(double share);
  // Carries the order out now, or late, or without an answer.
  void Order(const std::function<pool::CallAnswer()>& order,
             const std::function<void(pool::CallAnswer)>& done);

  VirtualClock* clock_;
  RunLedger* ledger_;
  FakeMinionOptions options_;
  std::mt19937_64 random_;
  MinionMode mode_ = MinionMode::kUp;
  bool draining_ = false;
  bool failing_ = false;
  double lost_share_ = 0;
  double late_share_ = 0;

  // Of this life of the minion.
  std::uint64_t life_ = 0;
  std::string id_;
  BootTime born_at_{0};
  std::uint64_t born_wall_ms_ = 0;
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
