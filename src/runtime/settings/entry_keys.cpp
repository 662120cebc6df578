#include "runtime/settings/entry_keys.h"

#include "runtime/settings/key_kinds.h"

namespace dottereltrack {
namespace {

using S = EntryDaemonSettings;

// Maximum value of a duration key: one day.
constexpr std::int64_t kMaxSettingDurationMs = 86'400'000;

template <typename Member>
SettingKey<S> CoreDurationKey(const char* name, Member member, std::int64_t min,
                              const char* meaning) {
  return DurationKey<S>(
      name, [member](auto& s) -> auto& { return s.core.*member; }, min,
      kMaxSettingDurationMs, meaning);
}

template <typename Member>
SettingKey<S> CoreNumberKey(const char* name, Member member, std::int64_t min,
                            std::int64_t max, const char* meaning) {
  return NumberKey<S>(
      name, [member](auto& s) -> auto& { return s.core.*member; }, min, max,
      meaning);
}

}  // namespace

std::vector<SettingKey<S>> EntryLimitKeys() {
  using C = EntrySettings;
  return {
      CoreNumberKey("max_tasks_per_job", &C::max_tasks_per_job, 1, 10'000,
                    "Most tasks of one job."),
      CoreNumberKey("max_queued_tasks", &C::max_queued_tasks, 1, 10'000'000,
                    "Most tasks that wait in the dispatcher's queue."),
      CoreNumberKey("max_start_retries", &C::max_start_retries, 0, 100,
                    "New placements of a task whose start was refused."),
      CoreNumberKey("max_payload_bytes", &C::max_payload_bytes, 1, 6 << 20,
                    "Largest payload of one task."),
      CoreNumberKey("max_key_bytes", &C::max_key_bytes, 36, 1'024,
                    "Longest idempotency key; a UUID has 36 bytes."),
      CoreNumberKey("max_starts_per_message", &C::max_starts_per_message, 1,
                    10'000, "Most tasks in one message to an agent."),
      CoreNumberKey("witness_count", &C::witness_count, 1, 8,
                    "Agents that record an opaque key or a closed submission."),
  };
}

std::vector<SettingKey<S>> EntryDurationKeys() {
  using C = EntrySettings;
  return {
      CoreDurationKey("default_deadline_ms", &C::default_deadline, 1,
                      "Deadline of a job that names none."),
      CoreDurationKey("max_deadline_ms", &C::max_deadline, 1,
                      "Longest deadline of a job."),
      CoreDurationKey(
          "retention_ms", &C::retention, 1'000,
          "How long records and answers are kept; equal on all entries."),
      CoreDurationKey(
          "clock_skew_ms", &C::clock_skew, 0,
          "Largest difference between the clocks of callers and entries."),
      CoreDurationKey("no_minion_grace_ms", &C::no_minion_grace, 0,
                      "How long a job waits for a minion that matches it."),
      CoreDurationKey(
          "authority_timeout_ms", &C::authority_timeout, 100,
          "How long an agent's acknowledgement lets the dispatcher send "
          "starts; equal on all entries."),
      CoreDurationKey(
          "peer_timeout_ms", &C::peer_timeout, 100,
          "Silence of the dispatcher after which another takes over."),
      CoreDurationKey(
          "takeover_stagger_ms", &C::takeover_stagger, 0,
          "Extra wait per rank among the members before a takeover."),
      CoreDurationKey("agent_timeout_ms", &C::agent_timeout, 100,
                      "Silence after which an agent counts as lost."),
      CoreDurationKey("no_dispatcher_timeout_ms", &C::no_dispatcher_timeout,
                      100, "How long a call waits for a dispatcher."),
      CoreDurationKey("answer_grace_ms", &C::answer_grace, 100,
                      "Time beyond the deadline after which a call ends."),
      CoreDurationKey("witness_timeout_ms", &C::witness_timeout, 10,
                      "How long the dispatcher waits for a witness."),
      CoreDurationKey("store_retry_ms", &C::store_retry, 10,
                      "First wait after a failed call of the store."),
      CoreDurationKey("max_store_retry_ms", &C::max_store_retry, 10,
                      "Longest wait after failed calls of the store."),
      CoreDurationKey("member_timeout_ms", &C::member_timeout, 1'000,
                      "How long an unreachable entry stays a member."),
      CoreDurationKey("majority_heartbeat_ms", &C::majority_heartbeat, 10,
                      "Longest silence towards an agent of the majority."),
      CoreDurationKey("agent_heartbeat_ms", &C::agent_heartbeat, 10,
                      "Longest silence towards any other agent."),
      CoreDurationKey("peer_heartbeat_ms", &C::peer_heartbeat, 10,
                      "Longest silence towards another entry."),
  };
}

std::vector<SettingConstraint<S>> EntryConstraints() {
  return {
      {"link_advertise",
       "an address of this VM, if link_listen is 0.0.0.0 or ::",
       "set it to the address by which agents and entries reach this VM",
       [](const S& s) {
         const bool listens_on_all_addresses =
             s.link_listen.host == "0.0.0.0" || s.link_listen.host == "::";
         return !listens_on_all_addresses || !s.link_advertise.host.empty();
       }},
      {"default_deadline_ms", "at most max_deadline_ms",
       "lower it or raise max_deadline_ms",
       [](const S& s) {
         return s.core.default_deadline <= s.core.max_deadline;
       }},
      {"retention_ms", "at least max_deadline_ms + answer_grace_ms",
       "raise it; otherwise an answer can expire before its caller receives it",
       [](const S& s) {
         return s.core.retention >= s.core.max_deadline + s.core.answer_grace;
       }},
      {"clock_skew_ms", "less than retention_ms",
       "lower it; otherwise every timed key counts as expired",
       [](const S& s) { return s.core.clock_skew < s.core.retention; }},
      {"max_queued_tasks", "at least max_tasks_per_job",
       "raise it; otherwise the largest job can never be accepted",
       [](const S& s) {
         return s.core.max_queued_tasks >= s.core.max_tasks_per_job;
       }},
      {"max_payload_bytes", "at most http_max_body_bytes",
       "lower it or raise http_max_body_bytes",
       [](const S& s) {
         return s.core.max_payload_bytes <= s.http.max_body_bytes;
       }},
      {"majority_heartbeat_ms", "at most half of authority_timeout_ms",
       "lower it; otherwise one late heartbeat ends the dispatcher's authority",
       [](const S& s) {
         return 2 * s.core.majority_heartbeat <= s.core.authority_timeout;
       }},
      {"peer_heartbeat_ms", "at most half of peer_timeout_ms",
       "lower it; otherwise one late heartbeat starts a takeover",
       [](const S& s) {
         return 2 * s.core.peer_heartbeat <= s.core.peer_timeout;
       }},
      {"member_timeout_ms", "more than peer_timeout_ms",
       "raise it; otherwise a member is removed before its silence is noticed",
       [](const S& s) { return s.core.member_timeout > s.core.peer_timeout; }},
      {"store_retry_ms", "at most max_store_retry_ms",
       "lower it or raise max_store_retry_ms",
       [](const S& s) { return s.core.store_retry <= s.core.max_store_retry; }},
      {"http_reply_timeout_ms",
       "more than max_deadline_ms + answer_grace_ms + no_dispatcher_timeout_ms",
       "raise it; otherwise a connection can be closed before its answer is "
       "sent",
       [](const S& s) {
         return s.http.reply_timeout > s.core.max_deadline +
                                           s.core.answer_grace +
                                           s.core.no_dispatcher_timeout;
       }},
  };
}

}  // namespace dottereltrack
