#include "core/pool/agent/crashes.h"

#include "core/pool/agent/links.h"

namespace dottereltrack::pool {
namespace {

// Bounds the length of a log line.
constexpr std::size_t kMaxLoggedTasks = 32;

// Returns the tasks at work, each with the age of its run, such as
// "5c0e7a21d94b36f8.0.1 9 ms, 5c0e7a21d94b36f8.0.2 104 ms".
std::string DescribeRuns(const AgentBoard& board, const Now& now) {
  std::string text;
  std::size_t count = 0;
  for (const auto& [key, run] : board.runs) {
    if (++count > kMaxLoggedTasks) break;
    if (!text.empty()) text += ", ";
    text += ToText(key.task) + " " +
            std::to_string(ToMilliseconds(now.boot - run.started_at)) + " ms";
  }
  return text;
}

const char* ToString(CrashEvidence evidence) {
  switch (evidence) {
    case CrashEvidence::kOtherInstance:
      return "another instance of the minion has started";
    case CrashEvidence::kConnectionRefused:
      return "connections were refused until the lease lapsed";
    case CrashEvidence::kNoAnswer:
      return "no answer until the lease lapsed";
  }
  return "unknown";
}

// Returns the crash of the current instance with all runs as suspects.
MinionCrash MakeCrash(const AgentBoard& board, CrashEvidence evidence,
                      const Now& now) {
  const MinionInstance instance{board.minion->id, board.minion->started_ms};
  CrashReport report{instance, {}, milliseconds{0}};
  for (const auto& [key, run] : board.runs) {
    const bool is_certain =
        evidence != CrashEvidence::kNoAnswer && run.has_begun;
    auto& list =
        is_certain ? report.suspects.certain : report.suspects.possible;
    list.push_back(key.task);
  }
  return MergeCrashReport(board.crashes.Find(instance), report, now);
}

}  // namespace

AgentChanges RecordCrash(const AgentBoard& board, CrashEvidence evidence,
                         const Now& now) {
  AgentChanges changes;
  if (!board.minion || board.runs.empty()) return changes;
  const MinionReport& minion = *board.minion;
  const MinionCrash crash = MakeCrash(board, evidence, now);
  changes.Add(Decision{
      Severity::kStateChange,
      "minion_crashed",
      0,
      {{"minion", minion.id},
       {"reason", ToString(evidence)},
       {"tasks", DescribeRuns(board, now)}},
      {{"started_ms", static_cast<std::int64_t>(minion.started_ms)},
       {"runs", static_cast<std::int64_t>(board.runs.size())},
       {"certain", static_cast<std::int64_t>(crash.suspects.certain.size())}}});
  changes.Add(Put<MinionCrash>{crash});
  AgentHello hello = MakeHello(board);
  hello.crashes = {MakeCrashReport(crash, now)};
  for (const auto& [id, link] : board.links) {
    changes.Add(SendToEntry{id, hello});
  }
  return changes;
}

AgentChanges ForgetExcessCrashes(const AgentBoard& board) {
  AgentChanges changes;
  for (const MinionInstance& minion :
       FindExcessCrashes(board.crashes, board.settings.max_crashes)) {
    changes.Add(Erase<MinionCrash>{minion});
  }
  return changes;
}

}  // namespace dottereltrack::pool
