#include "core/pool/entry/accepted_memory.h"

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
    bytes += sizeof(minion) + minion.size();
  }
  return bytes;
}

void SetMachineMemory(std::uint32_t memory_mb, EntrySettings* settings) {
  const std::size_t memory = (memory_mb == 0 ? kDefaultMemoryMb : memory_mb)
                             << 20;
  settings->max_accepted_bytes = memory / kAcceptedShare;
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
