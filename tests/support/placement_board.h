#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/entry/changes.h"

namespace dottereltrack::testing {

struct TestMinion {
  std::string name;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::uint64_t memory_bytes = 100;
  std::uint32_t accelerators = 0;
};

struct TestJob {
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
EntryBoard BoardWith(const std::vector<TestMinion>& minions);

const AgentRow& AgentOfMinion(const EntryBoard& board,
                              const std::string& minion);

SubmitRequest RequestOf(const TestJob& job);

// Adds an open job to the board with all its tasks queued.
void Enqueue(EntryBoard* board, const TestJob& job);

// Marks the first task of a job as started on the minion.
void StartFirstTask(EntryBoard* board, std::uint64_t job,
                    const std::string& minion, BootTime expected_end);

// Sets the estimated ratio of run time to declared time for kind "render".
void SetTimeRatio(EntryBoard* board, const std::string& minion, double ratio);

}  // namespace dottereltrack::testing
