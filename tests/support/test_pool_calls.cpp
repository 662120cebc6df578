#include <utility>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

using namespace pool;  // NOLINT(google-build-using-namespace)

// An entry with 0.12 core notices the end of a connection up to 26 ms after it
// has read the request before it.
constexpr milliseconds kResetNoticeDelay{26};

}  // namespace

CallId TestPool::Submit(int entry, const JobSpec& job,
                        milliseconds client_timeout, std::size_t queue) {
  const QueueConfig& target = options_.queues[queue];
  const CallId call{next_id_++};
  const ProcessState state = processes_[entry].state;
  calls_[call] = CallState::kOpen;
  if (state == ProcessState::kEnded) calls_[call] = CallState::kBroken;
  if (state == ProcessState::kEnded || state == ProcessState::kPoweredOff) {
    return call;
  }
  processes_[entry].calls.insert(call);
  Post(entry, EntryEvent{JobSubmitted{call, "request", target.host,
                                      target.path_prefix + JobIdToText(job.id),
                                      job, client_timeout}});
  return call;
}

CallId TestPool::SubmitOverResetConnection(int entry, const JobSpec& job,
                                           milliseconds client_timeout) {
  const CallId call{next_id_};
  reset_calls_.insert(call);
  Submit(entry, job, client_timeout);
  clock_.ScheduleAfter(kResetNoticeDelay, [this, call] { LeaveCall(call); });
  return call;
}

CallId TestPool::Cancel(int entry, std::uint64_t job) {
  const CallId call{next_id_++};
  calls_[call] = CallState::kOpen;
  if (!IsRunning(entry) && processes_[entry].state != ProcessState::kFrozen) {
    calls_[call] = CallState::kBroken;
    return call;
  }
  processes_[entry].calls.insert(call);
  Post(entry, EntryEvent{JobCancelRequested{call, job}});
  return call;
}

void TestPool::LeaveCall(CallId call) {
  for (int n = 0; n < options_.entries; ++n) {
    if (processes_[n].calls.erase(call) == 0) continue;
    Post(n, EntryEvent{CallerDisconnected{call}});
  }
  calls_[call] = CallState::kBroken;
}

CallState TestPool::StateOf(CallId call) const { return calls_.at(call); }

const PoolReply* TestPool::ReplyOf(CallId call) const {
  const auto it = replies_.find(call);
  return it == replies_.end() ? nullptr : &it->second;
}

void TestPool::BreakCalls(int process) {
  for (const CallId& call : std::exchange(processes_[process].calls, {})) {
    calls_[call] = CallState::kBroken;
  }
}

}  // namespace dottereltrack::testing
