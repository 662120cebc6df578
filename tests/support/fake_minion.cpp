#include "support/fake_minion.h"

#include <algorithm>
#include <memory>
#include <sstream>
#include <utility>

namespace dottereltrack::testing {
namespace {

using pool::CallAnswer;
using pool::RunEnd;
using pool::RunKey;

// Longest lease that a minion grants; longer ones are shortened.
constexpr std::uint64_t kMaxLeaseMs = 1'000;
// Longest time that a run takes to stop.
constexpr std::int64_t kMaxStopMs = 50;
constexpr std::int64_t kInitialClockMs = 1'000;
constexpr milliseconds kFailureDelay{1};
constexpr milliseconds kCrashDelay{9};
constexpr milliseconds kRestartDelay{3'000};
// The platform's rule: a task may crash three minions, and is started less than
// three times after that.
constexpr int kMaxCrashes = 3;
constexpr int kMaxStartsAfterCrashes = 2;
constexpr const char* kCrashWord = "crash";

struct Work {
  milliseconds duration{0};
  std::int64_t cpu_millis = 0;
};

Work ParseWork(const std::string& payload, std::uint32_t step) {
  std::istringstream text(payload);
  std::int64_t duration_ms = 0;
  std::int64_t cpu_millis = 0;
  for (std::uint32_t n = 0; n <= step; ++n) text >> duration_ms >> cpu_millis;
  return {milliseconds{duration_ms}, cpu_millis};
}

bool CrashesMinion(const pool::TaskKey& task, const std::string& payload) {
  return task.step == 0 && task.index == 0 &&
         payload.find(kCrashWord) != std::string::npos;
}

}  // namespace

void RunLedger::Begin(const RunKey& run, const std::string& minion) {
  ++starts;
  ++starts_by_minion[minion];
  ++begun_jobs_[run.task.job];
  const auto it = live.find(run.task);
  if (it != live.end()) {
    violations.push_back(
        "task " + ToText(run.task) + ": run " + std::to_string(run.number) +
        " on " + minion + " concurrent with run " +
        std::to_string(it->second.number) + " on " + it->second.minion);
  }
  live[run.task] = {minion, run.number};
  const auto crashed = crashes.find(run.task);
  if (crashed == crashes.end() || crashed->second < kMaxCrashes) return;
  if (++starts_after_third_crash_[run.task] <= kMaxStartsAfterCrashes) return;
  violations.push_back("task " + ToText(run.task) + ": started again after " +
                       std::to_string(crashed->second) +
                       " minions have crashed under it");
}

void RunLedger::End(const RunKey& run) {
  const auto it = live.find(run.task);
  if (it != live.end() && it->second.number == run.number) live.erase(it);
}

bool RunLedger::HasBegun(std::uint64_t job) const {
  return begun_jobs_.count(job) != 0;
}

int RunLedger::CountRuns(std::uint64_t job) const {
  const auto it = begun_jobs_.find(job);
  return it == begun_jobs_.end() ? 0 : it->second;
}

FakeMinion::FakeMinion(VirtualClock* clock, RunLedger* ledger,
                       FakeMinionOptions options)
    : clock_(clock),
      ledger_(ledger),
      options_(std::move(options)),
      random_(options_.seed) {
  Recover(false);
}

std::uint64_t FakeMinion::ClockMs() const {
  const double elapsed_us =
      options_.clock_rate *
      static_cast<double>((clock_->now() - started_at_).count());
  return kInitialClockMs + static_cast<std::uint64_t>(elapsed_us / 1'000);
}

bool FakeMinion::HappensWithProbability(double share) {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53 < share;
}

pool::MinionReport FakeMinion::Report() {
  pool::MinionReport report;
  report.id = id_;
  report.started_ms = started_wall_ms_;
  report.address = options_.address;
  report.service = options_.service;
  report.data_centre = options_.data_centre;
  report.capacity = options_.capacity;
  report.draining = draining_;
  report.sequence = ++sequence_;
  report.clock_ms = ClockMs();
  return report;
}

bool FakeMinion::IsForOtherInstance(const pool::MinionReport& addressed) const {
  return addressed.id != id_;
}

bool FakeMinion::IsStaleFencingToken(std::uint64_t token) {
  if (token < highest_token_) return true;
  highest_token_ = token;
  return false;
}

void FakeMinion::DeliverCommand(const std::function<CallAnswer()>& command,
                                const std::function<void(CallAnswer)>& done) {
  if (mode_ == MinionMode::kDown) return done(CallAnswer::kNotConnected);
  if (mode_ == MinionMode::kSilent) return;
  if (HappensWithProbability(late_command_share_)) {
    const auto delay = static_cast<std::int64_t>(2'000 + random_() % 10'000);
    clock_->ScheduleAfter(milliseconds{delay}, [this, command] {
      if (mode_ == MinionMode::kUp) command();
    });
    return;
  }
  const CallAnswer answer = command();
  if (!HappensWithProbability(lost_answer_share_)) done(answer);
}

void FakeMinion::Start(const pool::CallStart& call,
                       const std::function<void(CallAnswer)>& done) {
  DeliverCommand([this, call] { return DoStart(call); }, done);
}

void FakeMinion::Stop(const pool::CallStop& call,
                      const std::function<void(CallAnswer)>& done) {
  DeliverCommand([this, call] { return DoStop(call); }, done);
}

CallAnswer FakeMinion::DoStart(const pool::CallStart& call) {
  if (IsForOtherInstance(call.minion)) return CallAnswer::kOtherInstance;
  if (IsStaleFencingToken(call.fencing_token)) return CallAnswer::kFenced;
  const pool::TaskKey& task = call.run.task;
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.key == call.run) {
    return CallAnswer::kAccepted;
  }
  if (call.run.number <= highest_number_[task]) return CallAnswer::kOldNumber;
  if (call.lease_ends_ms <= ClockMs()) return CallAnswer::kLate;
  ExtendLease(call.lease_ends_ms);
  if (known != runs_.end()) {
    ledger_->violations.push_back("task " + ToText(task) +
                                  ": second concurrent run on the same minion");
  }
  Run run;
  run.key = call.run;
  run.started_at = clock_->now();
  const Work work = ParseWork(*call.payload, task.step);
  run.cpu_millis = work.cpu_millis;
  run.duration = BootTime{static_cast<std::int64_t>(
      1'000 * static_cast<double>(work.duration.count()) *
      options_.time_ratio)};
  highest_number_[task] = call.run.number;
  runs_[task] = run;
  ledger_->Begin(call.run, options_.name);
  CheckCapacity();
  if (CrashesMinion(task, *call.payload)) {
    clock_->ScheduleAfter(
        kCrashDelay, [this, task, epoch = epoch_] { CrashUnder(task, epoch); });
    return CallAnswer::kAccepted;
  }
  const BootTime ends_after = failing_ ? BootTime{kFailureDelay} : run.duration;
  const RunEnd end = failing_ ? RunEnd::kFailed : RunEnd::kDone;
  clock_->ScheduleAfter(ends_after, [this, key = run.key, end, epoch = epoch_] {
    Finish(key, end, epoch);
  });
  return CallAnswer::kAccepted;
}

void FakeMinion::CheckCapacity() {
  std::int64_t used = 0;
  for (const auto& [task, run] : runs_) used += run.cpu_millis;
  if (used <= options_.capacity.cpu_millis) return;
  ledger_->violations.push_back(
      options_.name + " runs " + std::to_string(used) + " of " +
      std::to_string(options_.capacity.cpu_millis) + " CPU millis");
}

CallAnswer FakeMinion::DoStop(const pool::CallStop& call) {
  if (IsForOtherInstance(call.minion)) return CallAnswer::kOtherInstance;
  if (IsStaleFencingToken(call.fencing_token)) return CallAnswer::kFenced;
  std::uint64_t& highest = highest_number_[call.run.task];
  highest = std::max(highest, call.run.number);
  const auto it = runs_.find(call.run.task);
  if (it == runs_.end() || it->second.key != call.run || it->second.stopping) {
    return CallAnswer::kAccepted;
  }
  it->second.stopping = true;
  const auto delay = static_cast<std::int64_t>(random_() % kMaxStopMs);
  clock_->ScheduleAfter(milliseconds{delay},
                        [this, run = call.run, epoch = epoch_] {
                          Finish(run, RunEnd::kStopped, epoch);
                        });
  return CallAnswer::kAccepted;
}

void FakeMinion::Finish(const RunKey& run, RunEnd end, std::uint64_t epoch) {
  const auto it = runs_.find(run.task);
  if (epoch != epoch_ || it == runs_.end() || it->second.key != run) return;
  runs_.erase(it);
  ledger_->End(run);
  ends_.push_back({++last_end_, run, end});
  for (const auto& wake : std::exchange(end_waiters_, {})) wake();
}

void FakeMinion::ExtendLease(std::uint64_t ends_ms) {
  const std::uint64_t now_ms = ClockMs();
  lease_ends_ms_ =
      std::max(lease_ends_ms_, std::min(ends_ms, now_ms + kMaxLeaseMs));
  const double left_ms = static_cast<double>(lease_ends_ms_ - now_ms + 1);
  const auto wait_us =
      static_cast<std::int64_t>(1'000 * left_ms / options_.clock_rate);
  clock_->ScheduleAfter(BootTime{wait_us},
                        [this, epoch = epoch_] { CheckLease(epoch); });
}

void FakeMinion::CheckLease(std::uint64_t epoch) {
  if (epoch != epoch_ || ClockMs() < lease_ends_ms_) return;
  std::vector<RunKey> lapsed;
  for (const auto& [task, run] : runs_) lapsed.push_back(run.key);
  for (const RunKey& run : lapsed) Finish(run, RunEnd::kLost, epoch);
}

pool::PollAnswered FakeMinion::ListRuns(const pool::CallPoll& call) const {
  pool::PollAnswered answer;
  answer.sequence = call.sequence;
  answer.answer = CallAnswer::kAccepted;
  answer.clock_ms = ClockMs();
  answer.started_ms = started_wall_ms_;
  for (const auto& [task, run] : runs_) {
    const auto elapsed = clock_->now() - run.started_at;
    const auto duration = std::max(run.duration, BootTime{1});
    answer.running.push_back(
        {run.key, static_cast<int>(100 * elapsed / duration)});
  }
  answer.ended = ends_;
  return answer;
}

void FakeMinion::Look(const pool::CallPoll& call,
                      const std::function<void(pool::PollAnswered)>& done) {
  const auto fail = [&](CallAnswer answer) {
    pool::PollAnswered failed;
    failed.sequence = call.sequence;
    failed.answer = answer;
    done(failed);
  };
  if (mode_ == MinionMode::kDown) return fail(CallAnswer::kNotConnected);
  if (mode_ == MinionMode::kSilent) return;
  if (IsForOtherInstance(call.minion)) return fail(CallAnswer::kOtherInstance);
  if (IsStaleFencingToken(call.fencing_token)) return fail(CallAnswer::kFenced);
  if (call.lease_ends_ms && *call.lease_ends_ms > ClockMs()) {
    ExtendLease(*call.lease_ends_ms);
  }
  std::erase_if(ends_, [&](const pool::ListedEnd& it) {
    return it.number <= call.last_end_number;
  });
  if (HappensWithProbability(lost_answer_share_)) return;
  if (!ends_.empty() || call.wait.count() == 0) return done(ListRuns(call));
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [this, call, done, answered, epoch = epoch_] {
    const bool is_gone = epoch != epoch_ || mode_ != MinionMode::kUp;
    if (*answered || is_gone) return;
    *answered = true;
    done(ListRuns(call));
  };
  end_waiters_.push_back(answer);
  clock_->ScheduleAfter(call.wait, answer);
}

void FakeMinion::CrashUnder(const pool::TaskKey& task, std::uint64_t epoch) {
  if (epoch != epoch_ || runs_.count(task) == 0) return;
  ++ledger_->crashes[task];
  Crash();
  clock_->ScheduleAfter(kRestartDelay, [this, crashed = epoch_] {
    if (crashed == epoch_) Recover(false);
  });
}

void FakeMinion::Crash() {
  ++epoch_;
  mode_ = MinionMode::kDown;
  for (const auto& [task, run] : runs_) ledger_->End(run.key);
  runs_.clear();
  end_waiters_.clear();
}

void FakeMinion::Recover(bool same_id) {
  ++epoch_;
  mode_ = MinionMode::kUp;
  if (!same_id || id_.empty()) {
    id_ = options_.name + "-" + std::to_string(epoch_);
  }
  started_at_ = clock_->now();
  started_wall_ms_ = clock_->wall().count();
  sequence_ = 0;
  highest_token_ = 0;
  lease_ends_ms_ = 0;
  draining_ = false;
  highest_number_.clear();
  ends_.clear();
  last_end_ = 0;
}

void FakeMinion::SetSilent(bool silent) {
  if (mode_ == MinionMode::kDown) return;
  mode_ = silent ? MinionMode::kSilent : MinionMode::kUp;
}

}  // namespace dottereltrack::testing
