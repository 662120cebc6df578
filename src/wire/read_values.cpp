#include "wire/read_values.h"

#include <algorithm>
#include <map>

namespace dottereltrack {
namespace {

// Estimated memory overhead of a map entry or a shared string, in addition to
// its characters and its node.
constexpr std::size_t kAllocationOverheadBytes = 64;

constexpr std::int64_t kMaxDurationMs = 366LL * 24 * 3600 * 1000;

template <typename Core, typename Wire>
Core ReadEnum(Wire from, DecodeContext* context) {
  if (from > Wire::MAX) {
    context->RecordError(
        WireErrorKind::kMalformed,
        "an enumerator is out of range; update this process to the "
        "sender's release");
    return Core{};
  }
  return static_cast<Core>(from);
}

std::int64_t CheckDuration(std::int64_t count, std::int64_t max,
                           DecodeContext* context) {
  if (count >= -max && count <= max) return count;
  context->RecordError(WireErrorKind::kMalformed,
                       "a duration is longer than a year; check the sender");
  return 0;
}

std::map<std::string, TeamConfig> ReadTeams(const wire::StoredConfig& from,
                                            DecodeContext* context) {
  std::map<std::string, TeamConfig> teams;
  if (from.teams() == nullptr) return teams;
  for (const wire::Team* it : *from.teams()) {
    if (!context->TryReserve(1,
                             sizeof(TeamConfig) + kAllocationOverheadBytes)) {
      break;
    }
    teams[ReadString(it->name(), context)] = {it->max_in_progress(),
                                              it->weight()};
  }
  return teams;
}

std::map<std::string, std::map<std::string, std::string>> ReadOverrides(
    const wire::StoredConfig& from, DecodeContext* context) {
  std::map<std::string, std::map<std::string, std::string>> overrides;
  if (from.label_overrides() == nullptr) return overrides;
  for (const wire::LabelOverride* it : *from.label_overrides()) {
    if (!context->TryReserve(1,
                             sizeof(std::string) + kAllocationOverheadBytes)) {
      break;
    }
    auto& labels = overrides[ReadString(it->minion(), context)];
    if (it->name() == nullptr) continue;
    labels[ReadString(it->name(), context)] = ReadString(it->value(), context);
  }
  return overrides;
}

std::map<std::string, std::string> ReadLabels(const wire::Minion& from,
                                              DecodeContext* context) {
  std::map<std::string, std::string> labels;
  if (from.labels() == nullptr) return labels;
  for (const wire::Label* it : *from.labels()) {
    if (!context->TryReserve(1,
                             sizeof(std::string) + kAllocationOverheadBytes)) {
      break;
    }
    labels[ReadString(it->name(), context)] = ReadString(it->value(), context);
  }
  return labels;
}

std::vector<std::string> ReadStrings(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* from,
    DecodeContext* context) {
  std::vector<std::string> list;
  if (from == nullptr ||
      !context->TryReserve(from->size(), sizeof(std::string))) {
    return list;
  }
  list.reserve(from->size());
  for (const auto* it : *from) list.push_back(ReadString(it, context));
  return list;
}

}  // namespace

SubmissionId Read(const wire::SubmissionId& from, DecodeContext*) {
  SubmissionId id;
  std::copy_n(from.bytes()->data(), id.bytes.size(), id.bytes.begin());
  return id;
}

TaskId Read(const wire::TaskId& from, DecodeContext* context) {
  return {Read(from.submission(), context), from.index()};
}

Fence Read(const wire::Fence& from, DecodeContext*) {
  return {from.generation(), from.session()};
}

AgentAck Read(const wire::AgentAck& from, DecodeContext* context) {
  return {Read(from.fence(), context), from.seq()};
}

Needs Read(const wire::Needs& from, DecodeContext*) {
  return {from.memory_bytes(), from.accelerators()};
}

WitnessEntry Read(const wire::WitnessEntry& from, DecodeContext* context) {
  return {Read(from.submission(), context), from.body_digest(), from.closed()};
}

LedgerState Read(wire::LedgerState from, DecodeContext* context) {
  return ReadEnum<LedgerState>(from, context);
}

StartRefusal Read(wire::StartRefusal from, DecodeContext* context) {
  return ReadEnum<StartRefusal>(from, context);
}

RefusalKind Read(wire::RefusalKind from, DecodeContext* context) {
  return ReadEnum<RefusalKind>(from, context);
}

ProofNotStarted Read(wire::Ground from, DecodeContext* context) {
  return ProofFromPeer(ReadEnum<ProofNotStarted::Ground>(from, context));
}

milliseconds ReadMilliseconds(std::int64_t count, DecodeContext* context) {
  return milliseconds{CheckDuration(count, kMaxDurationMs, context)};
}

microseconds ReadMicroseconds(std::int64_t count, DecodeContext* context) {
  return microseconds{CheckDuration(count, kMaxDurationMs * 1000, context)};
}

std::string ReadString(const flatbuffers::String* from,
                       DecodeContext* context) {
  if (from == nullptr || !context->TryReserve(from->size(), 1)) return {};
  return from->str();
}

std::string ReadBytes(const flatbuffers::Vector<std::uint8_t>* from,
                      DecodeContext* context) {
  if (from == nullptr ||
      !context->TryReserve(from->size() + kAllocationOverheadBytes, 1)) {
    return {};
  }
  return {reinterpret_cast<const char*>(from->data()), from->size()};
}

Member Read(const wire::Member& from, DecodeContext* context) {
  return {EntryId{from.id()},
          {ReadString(from.peer_host(), context), from.peer_port()},
          ReadString(from.data_centre(), context)};
}

RosterAgent Read(const wire::RosterAgent& from, DecodeContext* context) {
  return {AgentId{from.id()}, ReadString(from.minion(), context),
          ReadString(from.data_centre(), context),
          ReadString(from.rack(), context)};
}

LostAgent Read(const wire::LostAgent& from, DecodeContext* context) {
  return {AgentId{from.id()}, ReadString(from.rack(), context),
          from.expires_wall_ms()};
}

StoredTable Read(const wire::StoredTable& from, DecodeContext* context) {
  StoredTable stored;
  stored.revision = from.revision();
  CellTable& table = stored.table;
  table.generation = from.generation();
  table.dispatcher = EntryId{from.dispatcher()};
  table.members = ReadList(from.members(), context);
  table.roster = ReadList(from.roster(), context);
  table.lost = ReadList(from.lost(), context);
  table.two_racks_since_ms = from.two_racks_since_ms();
  table.writer_nonce = from.writer_nonce();
  return stored;
}

StoredConfig Read(const wire::StoredConfig& from, DecodeContext* context) {
  StoredConfig stored;
  stored.revision = from.revision();
  CellConfig& config = stored.config;
  config.version = from.version();
  config.teams = ReadTeams(from, context);
  config.label_overrides = ReadOverrides(from, context);
  config.drained_minions = ReadStrings(from.drained_minions(), context);
  config.writer_nonce = from.writer_nonce();
  return stored;
}

MinionDescription Read(const wire::Minion& from, DecodeContext* context) {
  MinionDescription minion;
  minion.name = ReadString(from.name(), context);
  minion.instance = from.instance();
  minion.labels = ReadLabels(from, context);
  minion.slots = from.slots();
  minion.connections = from.connections();
  minion.memory_bytes = from.memory_bytes();
  minion.accelerators = from.accelerators();
  minion.data_centre = ReadString(from.data_centre(), context);
  minion.rack = ReadString(from.rack(), context);
  minion.draining = from.draining();
  return minion;
}

LedgerEntry Read(const wire::LedgerEntry& from, DecodeContext* context) {
  LedgerEntry entry;
  entry.id = Read(*from.id(), context);
  entry.job_size = from.job_size();
  entry.body_digest = from.body_digest();
  entry.state = Read(from.state(), context);
  entry.output = ReadBytes(from.output(), context);
  entry.output_dropped = from.output_dropped();
  return entry;
}

TaskOutcome Read(const wire::Outcome& from, DecodeContext* context) {
  std::string text = ReadBytes(from.text(), context);
  switch (from.kind()) {
    case wire::OutcomeKind::Done:
      return Done{std::move(text)};
    case wire::OutcomeKind::Failed:
      return Failed{std::move(text)};
    case wire::OutcomeKind::Unknown:
      return Unknown{std::move(text)};
    case wire::OutcomeKind::NotRun:
      if (const auto ground = from.ground()) {
        return NotRun{std::move(text), Read(*ground, context)};
      }
      break;
  }
  context->RecordError(
      WireErrorKind::kMalformed,
      "a task's outcome is of no known kind or lacks its proof; "
      "check the sender");
  return Unknown{};
}

}  // namespace dottereltrack
