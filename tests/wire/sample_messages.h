#pragma once

#include <string>
#include <vector>

#include "core/messages.h"

namespace dottereltrack::testing {

// One message of one kind, with all fields set to values that differ from the
// defaults, or with the values that are hard to encode.
template <typename Message>
struct Sample {
  std::string name;
  Message message;
};

std::vector<Sample<EntryToAgent>> EntryToAgentSamples();
std::vector<Sample<AgentToEntry>> AgentToEntrySamples();
std::vector<Sample<EntryToEntry>> EntryToEntrySamples();

SubmissionId SampleSubmission(std::uint8_t n);
// A table of a full cell: 600 agents and as many lost ones.
StoredTable LargeTable();
StoredConfig SampleConfig();

}  // namespace dottereltrack::testing
