#include "core/pool/entry/accepted_memory.h"

#include <algorithm>

namespace dottereltrack::pool {
namespace {

// Assumed where the settings do not state the machine's memory. Users' smallest
// machines have 120 MB.
constexpr std::size_t kDefaultMemoryMb = 120;
// Share of the machine's memory for accepted jobs; that of reception and of
// connections is limited elsewhere.
constexpr std::size_t kAcceptedShare = 8;

// The row of a waiting job, its entries in the indexes, the client's call and
// the pending response.
constexpr std::size_t kJobBytes = 3U << 10;
constexpr std::size_t kStepBytes = 512;
constexpr std::size_t kTaskBytes = 512;
constexpr std::size_t kStringBytes = sizeof(std::string);

// Size of a start's message without the texts of its task.
constexpr std::size_t kStartBytes = 128;
// Limits of the starts that one agent's load reports do not cover: the lower
// one holds 15 starts with the longest spec, the upper one more than a minion
// of 100 cores takes.
constexpr std::size_t kMinStartWindow = 64U << 10;
constexpr std::size_t kMaxStartWindow = 512U << 10;

std::size_t MemoryOf(const PlacementRules& rules) {
  return rules.required_label.size() + rules.data_rack.size();
}

}  // namespace

std::size_t MemoryOf(const JobSpec& job) {
  std::size_t bytes = kJobBytes + job.payload->size();
  for (const StepSpec& step : job.steps) {
    bytes += kStepBytes + MemoryOf(step.rules);
  }
  return bytes;
}

std::size_t MemoryOf(const TaskRow& task) {
  std::size_t bytes = kTaskBytes + MemoryOf(task.rules);
  for (const std::string& minion : task.failed_minions) {
    bytes += kStringBytes + minion.size();
  }
  return bytes;
}

void SetMachineMemory(std::uint32_t memory_mb, EntrySettings* settings) {
  const std::size_t memory = (memory_mb == 0 ? kDefaultMemoryMb : memory_mb)
                             << 20;
  settings->max_accepted_bytes = memory / kAcceptedShare;
}

std::size_t StartBytes(const JobRow& job, const TaskRow& task) {
  return kStartBytes + job.payload->size() + task.rules.required_label.size();
}

std::size_t UnreportedBytes(const AgentRow& agent) {
  std::size_t bytes = 0;
  for (const UnreportedStart& it : agent.unreported_starts) bytes += it.bytes;
  return bytes;
}

std::size_t StartWindow(const EntryBoard& board) {
  const std::size_t agents = std::max<std::size_t>(board.agents.size(), 1);
  return std::clamp(board.settings.max_accepted_bytes / agents, kMinStartWindow,
                    kMaxStartWindow);
}

bool HasMemoryForRows(const EntryBoard& board, std::size_t tasks) {
  const std::size_t limit = board.settings.max_accepted_bytes;
  return board.accepted.bytes + tasks * kTaskBytes <= limit + limit / 2;
}

std::optional<std::string> FindMemoryShortage(const EntryBoard& board,
                                              const JobSubmitted& e) {
  const std::size_t limit = board.settings.max_accepted_bytes;
  const std::size_t bytes = MemoryOf(e.job);
  if (board.accepted.bytes + bytes > limit) {
    return "the accepted jobs use the memory for them";
  }
  const auto source = board.accepted.by_source.find(e.source);
  const std::size_t used =
      source == board.accepted.by_source.end() ? 0 : source->second;
  if (used + bytes > limit / 2) {
    return "the accepted jobs of this source use its share of the memory";
  }
  return std::nullopt;
}

}  // namespace dottereltrack::pool
