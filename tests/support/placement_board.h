#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack::testing {

struct MinionRow {
  std::string name;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint64_t memory_bytes = 100;
  std::uint32_t accelerators = 0;
};

struct JobRow {
  std::string team;
  std::uint64_t number = 0;
  std::vector<int> declared_ms;
  Needs needs{};
  BootTime accepted_at{seconds{5}};
  milliseconds deadline{60'000};
  std::string kind{"render"};
};

Now NowAt(BootTime boot);

SubmissionId IdOfJob(std::uint64_t number);

// Returns the board of a dispatcher that has authority and one fenced agent for
// each minion.
EntryBoard BoardWith(const std::vector<MinionRow>& minions);

const AgentRow& AgentBeside(const EntryBoard& board, const std::string& minion);

SubmitRequest RequestOf(const JobRow& job);

// Adds an open job to the board with all its tasks queued.
void Enqueue(EntryBoard* board, const JobRow& job);

// Marks the first task of a job as started on the minion.
void Start(EntryBoard* board, std::uint64_t job, const std::string& minion,
           BootTime expected_end);

// Sets the estimated ratio of run time to declared time for kind "render".
void SetRatio(EntryBoard* board, const std::string& minion, double ratio);

}  // namespace dottereltrack::testing
