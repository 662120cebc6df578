#pragma once

#include <string>
#include <variant>

#include "support/test_cell.h"

namespace dottereltrack::testing {

// The answer to a call; null if there is none or it is a refusal.
inline const Answer* AnswerTo(const TestCell& cell, CallId call) {
  const CallerReply* reply = cell.ReplyOf(call);
  return reply == nullptr ? nullptr : std::get_if<Answer>(&reply->reply);
}

// The refusal of a call; null if there is none.
inline const Refusal* RefusalOf(const TestCell& cell, CallId call) {
  const CallerReply* reply = cell.ReplyOf(call);
  return reply == nullptr ? nullptr : std::get_if<Refusal>(&reply->reply);
}

// Whether the call was answered with the results of all tasks of this request.
inline bool IsComplete(const TestCell& cell, CallId call,
                       const SubmitRequest& request) {
  const Answer* answer = AnswerTo(cell, call);
  if (answer == nullptr || !answer->complete) return false;
  if (answer->outcomes.size() != request.tasks.size()) return false;
  for (std::size_t n = 0; n < request.tasks.size(); ++n) {
    const auto* done = std::get_if<Done>(&answer->outcomes[n]);
    const bool own = done != nullptr &&
                     *done->result == "result of " + *request.tasks[n].payload;
    if (!own) return false;
  }
  return true;
}

// Number of outcomes of this type in the answer.
template <typename Outcome>
int CountOutcomes(const Answer& answer) {
  int n = 0;
  for (const TaskOutcome& it : answer.outcomes) {
    n += std::holds_alternative<Outcome>(it) ? 1 : 0;
  }
  return n;
}

// Whether no task that the answer reports as not run was started.
inline bool NoNotRunTaskStarted(const TestCell& cell, const Answer& answer) {
  for (std::uint32_t n = 0; n < answer.outcomes.size(); ++n) {
    if (!std::holds_alternative<NotRun>(answer.outcomes[n])) continue;
    if (cell.starts().count({answer.id, n}) != 0) return false;
  }
  return true;
}

// A timed key issued now, or an opaque key.
inline std::string MakeKey(const TestCell& cell, bool timed, std::uint64_t n) {
  return timed ? TimedKey(cell.wall(), n) : "key-" + std::to_string(n);
}

}  // namespace dottereltrack::testing
