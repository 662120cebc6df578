#include "support/pool_schedule.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "support/cancelling_clients.h"
#include "support/pool_schedule_steps.h"

namespace dottereltrack::testing {
namespace {

using pool::ReplyKind;

// A client whose connection broke submits the same job again after this time.
constexpr milliseconds kResendAfter{1'300};
constexpr milliseconds kClientTimeout{3'000};
// A client notices a broken connection within a round trip.
constexpr milliseconds kClientInterval{10};
// Links, lost runs and suspended minions recover within this time.
constexpr seconds kRecoveryTime{8};
constexpr milliseconds kTaskDuration{120};
// Four tasks use the full capacity of a minion.
constexpr std::int64_t kTaskCpuMillis = 6'000;
constexpr int kJobsAfterFaults = 6;
// A copy of a submission arrives seconds after the response.
constexpr seconds kMaxCopyDelay{20};
constexpr seconds kMinute{61};
// Fill the minions and leave tasks waiting until the entry exits.
constexpr int kJobsUnderLoad = 120;
constexpr milliseconds kTimeoutUnderLoad{30'000};
// A long job takes 6 to 30 s on idle minions, more than the bound of a cancel.
constexpr std::uint32_t kLongJobTasks = 150;
constexpr milliseconds kLongTaskDuration{500};
// Long enough for a copy to arrive while a later attempt is at work.
constexpr milliseconds kLostAnswerTaskDuration{1'000};
constexpr milliseconds kLostAnswerClientTimeout{8'000};
constexpr std::int64_t kLostAnswerTaskCpuMillis = 600;
// "Occasionally, such a request also arrives seconds after the 2xx response."
constexpr seconds kMinCopyDelay{1};

// A job from the view of its client.
struct ClientJob {
  pool::JobSpec spec;
  CallId call;
  BootTime gives_up_at{0};
  std::optional<BootTime> resend_at;
  int entry = 0;
  int calls = 1;
  bool ended = false;
  bool crashes_minions = false;
  // Its only call was refused.
  bool is_refused = false;
  std::optional<BootTime> answered_at;
  // The first answer with success does not reach the client.
  bool loses_answer = false;
  // When that answer was sent.
  std::optional<BootTime> lost_answer_at;
};

bool IsSuccess(ReplyKind kind) {
  return kind == ReplyKind::kCompleted || kind == ReplyKind::kFailed ||
         kind == ReplyKind::kCancelled;
}

class Runner {
 public:
  explicit Runner(const PoolSchedule& schedule)
      : schedule_(schedule),
        pool_(OptionsOf(schedule)),
        cancelling_clients_(&pool_) {}

  std::vector<std::string> Run() {
    RunFor(seconds{2});
    for (const PoolStep& step : schedule_.steps) {
      RunFor(step.delay);
      ApplyStep(step);
    }
    EndAllFaults();
    RunFor(kRecoveryTime);
    CheckServiceAfterFaults();
    CheckGuarantees();
    return std::move(violations_);
  }

 private:
  static PoolOptions OptionsOf(const PoolSchedule& schedule) {
    PoolOptions options;
    options.entries = schedule.entries;
    options.agents = schedule.agents;
    options.time_ratios = {1.0, 1.6, 0.7};
    options.clock_rates = {1.0, 0.98, 1.02};
    options.seed = schedule.seed;
    options.entry_turn = schedule.entry_turn;
    return options;
  }

  // Advances the clock; clients act in regular intervals.
  void RunFor(BootTime time) {
    const BootTime end_time = pool_.now() + time;
    while (pool_.now() < end_time) {
      pool_.RunUntil(
          std::min<BootTime>(end_time, pool_.now() + kClientInterval));
      for (ClientJob& job : jobs_) UpdateClientJob(&job);
      cancelling_clients_.Update();
    }
  }

  void UpdateClientJob(ClientJob* job) {
    if (job->ended) return;
    if (pool_.now() >= job->gives_up_at) {
      if (!job->resend_at) pool_.LeaveCall(job->call);
      job->resend_at.reset();
      job->ended = true;
      if (job->crashes_minions) job->answered_at = pool_.now();
      return;
    }
    if (job->resend_at) {
      if (pool_.now() >= *job->resend_at) SubmitAgain(job);
      return;
    }
    switch (pool_.StateOf(job->call)) {
      case CallState::kOpen:
        return;
      case CallState::kBroken:
        job->resend_at = pool_.now() + kResendAfter;
        return;
      case CallState::kAnswered:
        HandleReply(job);
    }
  }

  void HandleReply(ClientJob* job) {
    job->ended = true;
    const ReplyKind kind = pool_.ReplyOf(job->call)->kind;
    if (job->loses_answer && IsSuccess(kind)) {
      job->loses_answer = false;
      job->lost_answer_at = pool_.now();
      job->ended = false;
      job->resend_at = pool_.now() + kResendAfter;
      return;
    }
    if (kind == ReplyKind::kGivenUp && job->calls < 3) {
      job->ended = false;
      job->resend_at = pool_.now() + kResendAfter;
      return;
    }
    job->is_refused = job->calls == 1 && IsRefusal(kind);
    if (!IsRefusal(kind)) job->answered_at = pool_.now();
  }

  void SubmitAgain(ClientJob* job) {
    job->resend_at.reset();
    job->entry = (job->entry + 1) % pool_.entry_count();
    ++job->calls;
    const auto left = std::chrono::duration_cast<milliseconds>(
        job->gives_up_at - pool_.now());
    job->call = pool_.Submit(job->entry, job->spec, left);
  }

  void Submit(int entry, std::uint32_t tasks, bool crashes_minions = false,
              milliseconds client_timeout = kClientTimeout,
              milliseconds task_duration = kTaskDuration) {
    const auto make_job = crashes_minions ? &MakeCrashingJob : &MakeJob;
    ClientJob job;
    job.spec = make_job(jobs_.size() + 1, tasks, task_duration, kTaskCpuMillis);
    job.entry = entry;
    job.crashes_minions = crashes_minions;
    job.gives_up_at = pool_.now() + client_timeout;
    job.call = pool_.Submit(entry, job.spec, client_timeout);
    jobs_.push_back(std::move(job));
  }

  // The client notices the reset at once and submits the job again.
  void SubmitOverReset(int entry, std::uint32_t tasks) {
    Submit((entry + 1) % schedule_.entries, tasks);
    pool_.SubmitOverResetConnection(entry, jobs_.back().spec, kClientTimeout);
  }

  // The client waits for no reply to the job any more.
  void Cancel(std::uint32_t n, int entry) {
    if (jobs_.empty()) return;
    ClientJob& job = jobs_[jobs_.size() - 1 - n % jobs_.size()];
    if (job.ended) return;
    job.ended = true;
    job.answered_at = pool_.now();
    job.entry = entry;
    cancelling_clients_.Cancel(job.spec.id, entry);
  }

  // A copy arrives at the entry that has answered, unless it has restarted. The
  // client of a task that crashes minions submits it for as long as it likes.
  void SubmitCopy(std::uint32_t n, int entry) {
    if (jobs_.empty()) return;
    ClientJob& job = jobs_[jobs_.size() - 1 - n % jobs_.size()];
    if (!job.ended || !job.answered_at) return;
    if (job.crashes_minions) {
      if (pool_.now() < *job.answered_at + kResendAfter) return;
      job.ended = false;
      job.entry = entry;
      job.gives_up_at = pool_.now() + kClientTimeout;
      job.call = pool_.Submit(entry, job.spec, kClientTimeout);
      ++job.calls;
      return;
    }
    if (pool_.now() > *job.answered_at + kMaxCopyDelay) return;
    if (pool_.entry(job.entry).started_at > *job.answered_at) return;
    cancelling_clients_.SubmitCopy(job.spec, job.entry, kClientTimeout);
  }

  void SubmitLosingAnswer(int entry) {
    ClientJob job;
    job.spec = MakeJob(jobs_.size() + 1, 2, kLostAnswerTaskDuration,
                       kLostAnswerTaskCpuMillis);
    job.entry = entry;
    job.loses_answer = true;
    job.gives_up_at = pool_.now() + kLostAnswerClientTimeout;
    job.call = pool_.Submit(entry, job.spec, kLostAnswerClientTimeout);
    jobs_.push_back(std::move(job));
  }

  // The copy may arrive while a later attempt of the client is at work.
  void SubmitLateCopy(std::uint32_t n, int entry) {
    std::vector<pool::JobSpec> jobs;
    for (const ClientJob& job : jobs_) {
      if (!job.lost_answer_at) continue;
      if (pool_.now() < *job.lost_answer_at + kMinCopyDelay) continue;
      if (pool_.now() > *job.lost_answer_at + kMaxCopyDelay) continue;
      jobs.push_back(job.spec);
    }
    if (jobs.empty()) return;
    pool_.Submit(entry, jobs[jobs.size() - 1 - n % jobs.size()],
                 kClientTimeout);
  }

  void StopUnderLoad(int entry) {
    for (int n = 0; n < kJobsUnderLoad; ++n) {
      Submit(entry, 6, false, kTimeoutUnderLoad);
    }
    pool_.Stop(entry);
  }

  int ProcessOf(std::uint32_t n) const {
    return static_cast<int>(n % pool_.process_count());
  }
  FakeMinion& MinionOf(std::uint32_t n) {
    return pool_.minion(static_cast<int>(n % schedule_.agents));
  }

  void ApplyStep(const PoolStep& step) {
    const int process = ProcessOf(step.operand_a);
    const int other = ProcessOf(step.operand_b);
    const int entry = static_cast<int>(step.operand_a % schedule_.entries);
    const int other_entry =
        static_cast<int>(step.operand_b % schedule_.entries);
    const std::uint32_t tasks = 1 + step.operand_b % 6;
    switch (step.kind) {
      case PoolStepKind::kSubmit:
        return Submit(entry, tasks);
      case PoolStepKind::kSubmitCrashing:
        return Submit(entry, tasks, true);
      case PoolStepKind::kLeaveCall:
        return LeaveCall(step.operand_a);
      case PoolStepKind::kKill:
        return pool_.Kill(process);
      case PoolStepKind::kPowerOff:
        return PowerOff(process);
      case PoolStepKind::kRestart:
        return pool_.Restart(process);
      case PoolStepKind::kFreeze:
        return pool_.Freeze(process);
      case PoolStepKind::kThaw:
        return pool_.Thaw(process);
      case PoolStepKind::kStop:
        return pool_.Stop(process);
      case PoolStepKind::kCut:
        return Cut(process, other, true);
      case PoolStepKind::kCutOneWay:
        return Cut(process, other, false);
      case PoolStepKind::kHealCuts:
        return HealCuts();
      case PoolStepKind::kResetLinks:
        return pool_.ResetLinks(process, other);
      case PoolStepKind::kStoreDown:
        return pool_.SetStoreDown(true);
      case PoolStepKind::kStoreUp:
        return pool_.SetStoreDown(false);
      case PoolStepKind::kChangeConfig:
        return ChangeConfig();
      case PoolStepKind::kOverload:
        return pool_.SetLoopLoad(
            static_cast<int>(step.operand_a % schedule_.entries),
            step.operand_b % 4 != 0 ? 1.0 : 0.0);
      case PoolStepKind::kSubmitOverReset:
        return SubmitOverReset(entry, tasks);
      case PoolStepKind::kSubmitLong:
        return Submit(entry, kLongJobTasks, false, kTimeoutUnderLoad,
                      kLongTaskDuration);
      case PoolStepKind::kCancel:
        return Cancel(step.operand_a, other_entry);
      case PoolStepKind::kSubmitCopy:
        return SubmitCopy(step.operand_a, other_entry);
      case PoolStepKind::kStopUnderLoad:
        return StopUnderLoad(entry);
      case PoolStepKind::kPassMinute:
        return RunFor(kMinute);
      case PoolStepKind::kSubmitLosingAnswer:
        return SubmitLosingAnswer(entry);
      case PoolStepKind::kSubmitLateCopy:
        return SubmitLateCopy(step.operand_a, other_entry);
      default:
        return ApplyMinionStep(step, &MinionOf(step.operand_a));
    }
  }

  void LeaveCall(std::uint32_t n) {
    if (jobs_.empty()) return;
    ClientJob& job = jobs_[n % jobs_.size()];
    if (job.ended || job.resend_at) return;
    pool_.LeaveCall(job.call);
    job.ended = true;
  }

  // An agent and its minion run on the same machine.
  void PowerOff(int process) {
    pool_.PowerOff(process);
    const int agent = process - schedule_.entries;
    if (agent >= 0) pool_.minion(agent).Crash();
  }

  void Cut(int process, int other, bool both_ways) {
    if (process == other) return;
    cuts_.emplace_back(process, other);
    pool_.CutOneWay(process, other, true);
    if (both_ways) pool_.CutOneWay(other, process, true);
  }

  void HealCuts() {
    for (const auto& [process, other] : cuts_) pool_.Cut(process, other, false);
    cuts_.clear();
  }

  void ChangeConfig() {
    version_ += 3;
    pool_.SetConfig({version_, {PoolOptions::DefaultQueue()}});
  }

  // The clients of jobs that were submitted as load leave.
  void EndLoad() {
    for (ClientJob& job : jobs_) {
      if (job.ended || job.gives_up_at <= pool_.now() + kClientTimeout)
        continue;
      if (!job.resend_at) pool_.LeaveCall(job.call);
      job.ended = true;
    }
  }

  void EndAllFaults() {
    EndLoad();
    HealCuts();
    pool_.SetStoreDown(false);
    for (int process = 0; process < pool_.process_count(); ++process) {
      pool_.Thaw(process);
      pool_.Restart(process);
    }
    for (int n = 0; n < schedule_.agents; ++n) {
      FakeMinion& minion = pool_.minion(n);
      if (minion.mode() == MinionMode::kDown) minion.Recover(false);
      minion.SetSilent(false);
      minion.SetFailing(false);
      minion.SetTimeRatio(1.0);
      minion.SetDraining(false);
      minion.SetLostAnswerShare(0);
      minion.SetLateCommandShare(0);
    }
    ChangeConfig();
  }

  // Checks that each entry completes new jobs after the faults.
  void CheckServiceAfterFaults() {
    // Processes that were asked to stop have exited; start them again.
    for (int process = 0; process < pool_.process_count(); ++process)
      pool_.Restart(process);
    RunFor(seconds{4});
    const std::size_t first = jobs_.size();
    for (int n = 0; n < kJobsAfterFaults; ++n) {
      Submit(n % schedule_.entries, 2);
      RunFor(milliseconds{300});
    }
    RunFor(kClientTimeout);
    for (std::size_t n = first; n < jobs_.size(); ++n) {
      const PoolReply* reply = pool_.ReplyOf(jobs_[n].call);
      if (reply != nullptr && reply->kind == ReplyKind::kCompleted) continue;
      violations_.push_back(
          "job " + std::to_string(n + 1) + " after the faults: " +
          (reply == nullptr
               ? std::string("no reply")
               : "reply " + std::to_string(static_cast<int>(reply->kind))));
    }
  }

  void CheckGuarantees() {
    for (const std::string& it : pool_.ledger().violations) {
      violations_.push_back(it);
    }
    for (const ClientJob& job : jobs_) {
      if (!job.is_refused || !pool_.ledger().HasBegun(job.spec.id)) continue;
      violations_.push_back("job " + std::to_string(job.spec.id) +
                            " was refused and has begun");
    }
    for (std::string& it : cancelling_clients_.FindViolations()) {
      violations_.push_back(std::move(it));
    }
    if (pool_.config_regressions() > 0) {
      violations_.emplace_back("an entry returned to an older configuration");
    }
    for (int n = 0; n < schedule_.entries; ++n) {
      if (pool_.entry(n).config.version != version_) {
        violations_.push_back("entry " + std::to_string(n) +
                              " lacks the newest configuration");
      }
      if (!pool_.entry(n).active_jobs.empty()) {
        violations_.push_back("entry " + std::to_string(n) +
                              " keeps jobs without a waiting caller");
      }
    }
    for (int n = 0; n < schedule_.agents; ++n) {
      if (!pool_.agent(n).runs.empty()) {
        violations_.push_back("agent " + std::to_string(n) +
                              " keeps runs that have ended");
      }
    }
  }

  const PoolSchedule& schedule_;
  TestPool pool_;
  CancellingClients cancelling_clients_;
  std::vector<ClientJob> jobs_;
  std::vector<std::pair<int, int>> cuts_;
  std::uint64_t version_ = 1;
  std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> RunPoolSchedule(const PoolSchedule& schedule) {
  return Runner(schedule).Run();
}

}  // namespace dottereltrack::testing
