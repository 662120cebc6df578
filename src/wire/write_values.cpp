#include "wire/write_values.h"

#include <type_traits>
#include <utility>

namespace dottereltrack {
namespace {

// The enumerators of the schema have the same values as those in src/core.
// `last` is the last enumerator in src/core; the assertion fails if an
// enumerator is added on one side only.
template <auto last, typename Wire, typename Core>
Wire ToWireEnum(Core value) {
  static_assert(static_cast<int>(last) == static_cast<int>(Wire::MAX));
  return static_cast<Wire>(value);
}

using LabelOffsets = std::vector<flatbuffers::Offset<wire::LabelOverride>>;

auto WriteTeams(FrameBuilder* builder,
                const std::map<std::string, TeamConfig>& teams) {
  std::vector<flatbuffers::Offset<wire::Team>> offsets;
  for (const auto& [name, team] : teams) {
    const auto name_offset = builder->CreateString(name);
    offsets.push_back(wire::CreateTeam(*builder, name_offset,
                                       team.max_in_progress, team.weight));
  }
  return builder->CreateVector(offsets);
}

void WriteMinionOverrides(FrameBuilder* builder, const std::string& minion,
                          const std::map<std::string, std::string>& labels,
                          LabelOffsets* offsets) {
  if (labels.empty()) {
    offsets->push_back(
        wire::CreateLabelOverride(*builder, builder->CreateString(minion)));
  }
  for (const auto& [name, value] : labels) {
    const auto minion_offset = builder->CreateString(minion);
    const auto name_offset = builder->CreateString(name);
    const auto value_offset = builder->CreateString(value);
    offsets->push_back(wire::CreateLabelOverride(*builder, minion_offset,
                                                 name_offset, value_offset));
  }
}

auto WriteLabels(FrameBuilder* builder,
                 const std::map<std::string, std::string>& labels) {
  std::vector<flatbuffers::Offset<wire::Label>> offsets;
  for (const auto& [name, value] : labels) {
    const auto name_offset = builder->CreateString(name);
    const auto value_offset = builder->CreateString(value);
    offsets.push_back(wire::CreateLabel(*builder, name_offset, value_offset));
  }
  return builder->CreateVector(offsets);
}

}  // namespace

wire::SubmissionId ToWire(const SubmissionId& id) {
  return wire::SubmissionId(
      flatbuffers::span<const std::uint8_t, 16>(id.bytes));
}

wire::TaskId ToWire(const TaskId& id) {
  return {ToWire(id.submission), id.index};
}

wire::Fence ToWire(const Fence& fence) {
  return {fence.generation, fence.session};
}

wire::AgentAck ToWire(const AgentAck& ack) {
  return {ToWire(ack.fence), ack.seq};
}

wire::Needs ToWire(const Needs& needs) {
  return {needs.memory_bytes, needs.accelerators};
}

wire::WitnessEntry ToWire(const WitnessEntry& entry) {
  return {ToWire(entry.submission), entry.body_digest, entry.closed};
}

wire::LedgerState ToWire(LedgerState state) {
  return ToWireEnum<LedgerState::kUnknown, wire::LedgerState>(state);
}

wire::StartRefusal ToWire(StartRefusal reason) {
  return ToWireEnum<StartRefusal::kTooLarge, wire::StartRefusal>(reason);
}

wire::RefusalKind ToWire(RefusalKind kind) {
  return ToWireEnum<RefusalKind::kUndecided, wire::RefusalKind>(kind);
}

wire::Ground ToWire(const ProofNotStarted& proof) {
  return ToWireEnum<ProofNotStarted::Ground::kAbsentFromInventory,
                    wire::Ground>(proof.ground());
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> WriteBytes(
    FrameBuilder* builder, const std::string& bytes) {
  return builder->CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

flatbuffers::Offset<wire::Member> Write(FrameBuilder* builder,
                                        const Member& member) {
  const auto host = builder->CreateString(member.peer_address.host);
  const auto data_centre = builder->CreateString(member.data_centre);
  return wire::CreateMember(*builder, member.id.value, host,
                            member.peer_address.port, data_centre);
}

flatbuffers::Offset<wire::RosterAgent> Write(FrameBuilder* builder,
                                             const RosterAgent& agent) {
  const auto minion = builder->CreateString(agent.minion);
  const auto data_centre = builder->CreateString(agent.data_centre);
  const auto rack = builder->CreateString(agent.rack);
  return wire::CreateRosterAgent(*builder, agent.id.value, minion, data_centre,
                                 rack);
}

flatbuffers::Offset<wire::LostAgent> Write(FrameBuilder* builder,
                                           const LostAgent& agent) {
  const auto rack = builder->CreateString(agent.rack);
  return wire::CreateLostAgent(*builder, agent.id.value, rack,
                               agent.expires_wall_ms);
}

flatbuffers::Offset<wire::StoredTable> Write(FrameBuilder* builder,
                                             const StoredTable& stored) {
  const CellTable& table = stored.table;
  const auto members = WriteList(builder, table.members);
  const auto roster = WriteList(builder, table.roster);
  const auto lost = WriteList(builder, table.lost);
  return wire::CreateStoredTable(*builder, stored.revision, table.generation,
                                 table.dispatcher.value, members, roster, lost,
                                 table.two_racks_since_ms, table.writer_nonce);
}

flatbuffers::Offset<wire::StoredConfig> Write(FrameBuilder* builder,
                                              const StoredConfig& stored) {
  const CellConfig& config = stored.config;
  const auto teams = WriteTeams(builder, config.teams);
  LabelOffsets overrides;
  for (const auto& [minion, labels] : config.label_overrides) {
    WriteMinionOverrides(builder, minion, labels, &overrides);
  }
  const auto overrides_offset = builder->CreateVector(overrides);
  const auto drained = builder->CreateVectorOfStrings(config.drained_minions);
  return wire::CreateStoredConfig(*builder, stored.revision, config.version,
                                  teams, overrides_offset, drained,
                                  config.writer_nonce);
}

flatbuffers::Offset<wire::Minion> Write(FrameBuilder* builder,
                                        const MinionDescription& minion) {
  const auto name = builder->CreateString(minion.name);
  const auto labels = WriteLabels(builder, minion.labels);
  const auto data_centre = builder->CreateString(minion.data_centre);
  const auto rack = builder->CreateString(minion.rack);
  return wire::CreateMinion(*builder, name, minion.instance, labels,
                            minion.slots, minion.connections,
                            minion.memory_bytes, minion.accelerators,
                            data_centre, rack, minion.draining);
}

flatbuffers::Offset<wire::LedgerEntry> Write(FrameBuilder* builder,
                                             const LedgerEntry& entry) {
  const auto id = ToWire(entry.id);
  const auto output = WriteBytes(builder, *entry.output);
  return wire::CreateLedgerEntry(*builder, &id, entry.job_size,
                                 entry.body_digest, ToWire(entry.state), output,
                                 entry.output_dropped);
}

flatbuffers::Offset<wire::Outcome> Write(FrameBuilder* builder,
                                         const TaskOutcome& outcome) {
  struct Writer {
    FrameBuilder* builder;
    auto operator()(const Done& it) const {
      return wire::CreateOutcome(*builder, wire::OutcomeKind::Done,
                                 WriteBytes(builder, *it.result));
    }
    auto operator()(const Failed& it) const {
      return wire::CreateOutcome(*builder, wire::OutcomeKind::Failed,
                                 WriteBytes(builder, it.message));
    }
    auto operator()(const NotRun& it) const {
      return wire::CreateOutcome(*builder, wire::OutcomeKind::NotRun,
                                 WriteBytes(builder, it.reason),
                                 ToWire(it.proof));
    }
    auto operator()(const Unknown& it) const {
      return wire::CreateOutcome(*builder, wire::OutcomeKind::Unknown,
                                 WriteBytes(builder, it.reason));
    }
  };
  return std::visit(Writer{builder}, outcome);
}

}  // namespace dottereltrack
