#pragma once

#include <string>
#include <vector>

#include "core/messages.h"

namespace dottereltrack::testing {

// A message whose fields all differ from their defaults, or which contains
// values that are prone to encoding errors.
template <typename Message>
struct Sample {
  std::string name;
  Message message;
};

std::vector<Sample<EntryToAgent>> EntryToAgentSamples();
std::vector<Sample<AgentToEntry>> AgentToEntrySamples();
std::vector<Sample<EntryToEntry>> EntryToEntrySamples();

SubmissionId SampleSubmission(std::uint8_t n);
// The table of a cell of maximum size: 600 agents and 600 lost agents.
StoredTable LargeTable();
StoredConfig SampleConfig();

}  // namespace dottereltrack::testing
