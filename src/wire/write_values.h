#pragma once

#include <string>
#include <vector>

#include "core/cell.h"
#include "core/job.h"
#include "core/messages.h"
#include "core/minion.h"
#include "messages_generated.h"

namespace dottereltrack {

using FrameBuilder = flatbuffers::FlatBufferBuilder;

// Values of fixed size, which are stored inline.
wire::SubmissionId ToWire(const SubmissionId& id);
wire::TaskId ToWire(const TaskId& id);
wire::Fence ToWire(const Fence& fence);
wire::AgentAck ToWire(const AgentAck& ack);
wire::Needs ToWire(const Needs& needs);
wire::WitnessEntry ToWire(const WitnessEntry& entry);
wire::LedgerState ToWire(LedgerState state);
wire::StartRefusal ToWire(StartRefusal reason);
wire::RefusalKind ToWire(RefusalKind kind);
wire::Ground ToWire(const ProofNotStarted& proof);

// Values of variable size. Each must be written before the table that contains
// it. Strings are not shared within a frame, because the receiver limits the
// ratio of decoded to encoded size.
flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> WriteBytes(
    FrameBuilder* builder, const std::string& bytes);
flatbuffers::Offset<wire::Member> Write(FrameBuilder* builder,
                                        const Member& member);
flatbuffers::Offset<wire::RosterAgent> Write(FrameBuilder* builder,
                                             const RosterAgent& agent);
flatbuffers::Offset<wire::LostAgent> Write(FrameBuilder* builder,
                                           const LostAgent& agent);
flatbuffers::Offset<wire::StoredTable> Write(FrameBuilder* builder,
                                             const StoredTable& stored);
flatbuffers::Offset<wire::StoredConfig> Write(FrameBuilder* builder,
                                              const StoredConfig& stored);
flatbuffers::Offset<wire::Minion> Write(FrameBuilder* builder,
                                        const MinionDescription& minion);
flatbuffers::Offset<wire::LedgerEntry> Write(FrameBuilder* builder,
                                             const LedgerEntry& entry);
flatbuffers::Offset<wire::Outcome> Write(FrameBuilder* builder,
                                         const TaskOutcome& outcome);

// Writes a list whose elements are tables.
template <typename T>
auto WriteList(FrameBuilder* builder, const std::vector<T>& list) {
  std::vector<decltype(Write(builder, list.front()))> offsets;
  offsets.reserve(list.size());
  for (const T& it : list) offsets.push_back(Write(builder, it));
  return builder->CreateVector(offsets);
}

// Writes a list whose elements are structs of fixed size.
template <typename T>
auto WriteStructs(FrameBuilder* builder, const std::vector<T>& list) {
  std::vector<decltype(ToWire(list.front()))> structs;
  structs.reserve(list.size());
  for (const T& it : list) structs.push_back(ToWire(it));
  return builder->CreateVectorOfStructs(structs);
}

}  // namespace dottereltrack
