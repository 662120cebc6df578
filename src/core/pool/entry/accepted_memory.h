#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "core/pool/entry/board.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Estimates in bytes, with the call of the client, index entries and what the
// allocator adds.
std::size_t MemoryOf(const JobSpec& job);
std::size_t MemoryOf(const TaskRow& task);

// What the outcome of an ended job takes.
inline constexpr std::size_t kOutcomeBytes = 1U << 10;

// Sets the limits of accepted work for a machine with this memory; 0 if it is
// not known.
void SetMachineMemory(std::uint32_t memory_mb, EntrySettings* settings);

// Size of the message that starts a run of the task.
std::size_t StartBytes(const JobRow& job, const TaskRow& task);

// Sum of the sizes of the starts that an agent's load reports do not cover. At
// most `StartWindow` of them are sent, so that tasks without needs, which fit
// on a minion in any number, wait here and not in the buffers of the links.
std::size_t UnreportedBytes(const AgentRow& agent);
std::size_t StartWindow(const EntryBoard& board);

// Whether there is memory for the rows of this many further tasks of usual size
// beside all accepted jobs.
bool HasMemoryForRows(const EntryBoard& board, std::size_t tasks);

// Returns why there is no memory for a job that is submitted now; empty if
// there is.
std::optional<std::string> FindMemoryShortage(const EntryBoard& board,
                                              const JobSubmitted& e);

}  // namespace dottereltrack::pool
