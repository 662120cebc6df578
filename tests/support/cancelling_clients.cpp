#include "support/cancelling_clients.h"

namespace dottereltrack::testing {
namespace {

using pool::ReplyKind;

// As in the platform's clients.
constexpr milliseconds kResendAfter{1'300};
// No task may start later than this after an acknowledged cancel (cancel_ms).
constexpr milliseconds kMaxStartAfterCancel{4'000};

bool IsAcknowledgement(ReplyKind kind) {
  return kind == ReplyKind::kCancelled || kind == ReplyKind::kUnknownJob;
}

}  // namespace

bool IsRefusal(ReplyKind kind) {
  switch (kind) {
    case ReplyKind::kNoQueue:
    case ReplyKind::kNoConfig:
    case ReplyKind::kOverloaded:
    case ReplyKind::kNoMinions:
    case ReplyKind::kStopping:
    case ReplyKind::kUnsupported:
      return true;
    default:
      return false;
  }
}

void CancellingClients::Cancel(std::uint64_t job, int entry) {
  PendingCancel cancel;
  cancel.job = job;
  cancel.entry = entry;
  cancel.call = pool_->Cancel(entry, job);
  cancels_.push_back(cancel);
}

void CancellingClients::SubmitCopy(const pool::JobSpec& job, int entry,
                                   milliseconds client_timeout) {
  copies_.push_back({job.id, pool_->Submit(entry, job, client_timeout)});
}

void CancellingClients::Update() {
  for (PendingCancel& it : cancels_) UpdateCancel(&it);
}

void CancellingClients::UpdateCancel(PendingCancel* cancel) {
  const BootTime now = pool_->now();
  if (cancel->acknowledged_at) {
    if (!cancel->allowed_runs &&
        now >= *cancel->acknowledged_at + kMaxStartAfterCancel) {
      cancel->allowed_runs = pool_->ledger().CountRuns(cancel->job);
    }
    return;
  }
  if (cancel->resend_at) {
    if (now < *cancel->resend_at) return;
    cancel->resend_at.reset();
    cancel->entry = (cancel->entry + 1) % pool_->entry_count();
    cancel->call = pool_->Cancel(cancel->entry, cancel->job);
    return;
  }
  const CallState state = pool_->StateOf(cancel->call);
  if (state == CallState::kOpen) return;
  const PoolReply* reply = pool_->ReplyOf(cancel->call);
  if (reply != nullptr && IsAcknowledgement(reply->kind)) {
    cancel->acknowledged_at = reply->at;
  } else {
    cancel->resend_at = now + kResendAfter;
  }
}

std::vector<std::string> CancellingClients::FindViolations() const {
  std::vector<std::string> found;
  for (const PendingCancel& it : cancels_) {
    if (!it.allowed_runs) continue;
    const int runs = pool_->ledger().CountRuns(it.job);
    if (runs <= *it.allowed_runs) continue;
    found.push_back("job " + std::to_string(it.job) + ": " +
                    std::to_string(runs - *it.allowed_runs) +
                    " starts after its cancel was acknowledged");
  }
  for (const Copy& it : copies_) {
    const PoolReply* reply = pool_->ReplyOf(it.call);
    if (reply == nullptr || !IsRefusal(reply->kind)) continue;
    if (pool_->ledger().CountRuns(it.job) == 0) continue;
    found.push_back("a copy of job " + std::to_string(it.job) +
                    " was refused as not run, and the job has run");
  }
  return found;
}

}  // namespace dottereltrack::testing
