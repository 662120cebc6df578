#include "wire/read_values.h"

#include <algorithm>
#include <map>

namespace dottereltrack {
namespace {

// Estimated memory overhead of a map entry or a shared string, in addition to
// its characters and its node.
constexpr std::size_t kNodeBytes = 64;

constexpr std::int64_t kMaxDurationMs = 366LL * 24 * 3600 * 1000;

template <typename Core, typename Wire>
Core ReadEnum(Wire from, FrameReader* reader) {
  if (from > Wire::MAX) {
    reader->Fail(WireErrorKind::kMalformed,
                 "an enumerator is out of range; update this process to the "
                 "sender's release");
    return Core{};
  }
  return static_cast<Core>(from);
}

std::int64_t CheckDuration(std::int64_t count, std::int64_t max,
                           FrameReader* reader) {
  if (count >= -max && count <= max) return count;
  reader->Fail(WireErrorKind::kMalformed,
               "a duration is longer than a year; check the sender");
  return 0;
}

std::map<std::string, TeamConfig> ReadTeams(const wire::StoredConfig& from,
                                            FrameReader* reader) {
  std::map<std::string, TeamConfig> teams;
  if (from.teams() == nullptr) return teams;
  for (const wire::Team* it : *from.teams()) {
    if (!reader->Charge(1, sizeof(TeamConfig) + kNodeBytes)) break;
    teams[ReadString(it->name(), reader)] = {it->max_in_progress(),
                                             it->weight()};
  }
  return teams;
}

std::map<std::string, std::map<std::string, std::string>> ReadOverrides(
    const wire::StoredConfig& from, FrameReader* reader) {
  std::map<std::string, std::map<std::string, std::string>> overrides;
  if (from.label_overrides() == nullptr) return overrides;
  for (const wire::LabelOverride* it : *from.label_overrides()) {
    if (!reader->Charge(1, sizeof(std::string) + kNodeBytes)) break;
    auto& labels = overrides[ReadString(it->minion(), reader)];
    if (it->name() == nullptr) continue;
    labels[ReadString(it->name(), reader)] = ReadString(it->value(), reader);
  }
  return overrides;
}

std::map<std::string, std::string> ReadLabels(const wire::Minion& from,
                                              FrameReader* reader) {
  std::map<std::string, std::string> labels;
  if (from.labels() == nullptr) return labels;
  for (const wire::Label* it : *from.labels()) {
    if (!reader->Charge(1, sizeof(std::string) + kNodeBytes)) break;
    labels[ReadString(it->name(), reader)] = ReadString(it->value(), reader);
  }
  return labels;
}

std::vector<std::string> ReadStrings(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* from,
    FrameReader* reader) {
  std::vector<std::string> list;
  if (from == nullptr || !reader->Charge(from->size(), sizeof(std::string))) {
    return list;
  }
  list.reserve(from->size());
  for (const auto* it : *from) list.push_back(ReadString(it, reader));
  return list;
}

}  // namespace

SubmissionId Read(const wire::SubmissionId& from, FrameReader*) {
  SubmissionId id;
  std::copy_n(from.bytes()->data(), id.bytes.size(), id.bytes.begin());
  return id;
}

TaskId Read(const wire::TaskId& from, FrameReader* reader) {
  return {Read(from.submission(), reader), from.index()};
}

Fence Read(const wire::Fence& from, FrameReader*) {
  return {from.generation(), from.session()};
}

AgentAck Read(const wire::AgentAck& from, FrameReader* reader) {
  return {Read(from.fence(), reader), from.seq()};
}

Needs Read(const wire::Needs& from, FrameReader*) {
  return {from.memory_bytes(), from.accelerators()};
}

WitnessEntry Read(const wire::WitnessEntry& from, FrameReader* reader) {
  return {Read(from.submission(), reader), from.body_digest(), from.closed()};
}

LedgerState Read(wire::LedgerState from, FrameReader* reader) {
  return ReadEnum<LedgerState>(from, reader);
}

StartRefusal Read(wire::StartRefusal from, FrameReader* reader) {
  return ReadEnum<StartRefusal>(from, reader);
}

RefusalKind Read(wire::RefusalKind from, FrameReader* reader) {
  return ReadEnum<RefusalKind>(from, reader);
}

ProofNotStarted Read(wire::Ground from, FrameReader* reader) {
  return ProofFromPeer(ReadEnum<ProofNotStarted::Ground>(from, reader));
}

milliseconds ReadMilliseconds(std::int64_t count, FrameReader* reader) {
  return milliseconds{CheckDuration(count, kMaxDurationMs, reader)};
}

microseconds ReadMicroseconds(std::int64_t count, FrameReader* reader) {
  return microseconds{CheckDuration(count, kMaxDurationMs * 1000, reader)};
}

std::string ReadString(const flatbuffers::String* from, FrameReader* reader) {
  if (from == nullptr || !reader->Charge(from->size(), 1)) return {};
  return from->str();
}

std::string ReadBytes(const flatbuffers::Vector<std::uint8_t>* from,
                      FrameReader* reader) {
  if (from == nullptr || !reader->Charge(from->size() + kNodeBytes, 1)) {
    return {};
  }
  return {reinterpret_cast<const char*>(from->data()), from->size()};
}

Member Read(const wire::Member& from, FrameReader* reader) {
  return {EntryId{from.id()},
          {ReadString(from.peer_host(), reader), from.peer_port()},
          ReadString(from.data_centre(), reader)};
}

RosterAgent Read(const wire::RosterAgent& from, FrameReader* reader) {
  return {AgentId{from.id()}, ReadString(from.minion(), reader),
          ReadString(from.data_centre(), reader),
          ReadString(from.rack(), reader)};
}

LostAgent Read(const wire::LostAgent& from, FrameReader* reader) {
  return {AgentId{from.id()}, ReadString(from.rack(), reader),
          from.expires_wall_ms()};
}

StoredTable Read(const wire::StoredTable& from, FrameReader* reader) {
  StoredTable stored;
  stored.revision = from.revision();
  CellTable& table = stored.table;
  table.generation = from.generation();
  table.dispatcher = EntryId{from.dispatcher()};
  table.members = ReadList(from.members(), reader);
  table.roster = ReadList(from.roster(), reader);
  table.lost = ReadList(from.lost(), reader);
  table.two_racks_since_ms = from.two_racks_since_ms();
  table.writer_nonce = from.writer_nonce();
  return stored;
}

StoredConfig Read(const wire::StoredConfig& from, FrameReader* reader) {
  StoredConfig stored;
  stored.revision = from.revision();
  CellConfig& config = stored.config;
  config.version = from.version();
  config.teams = ReadTeams(from, reader);
  config.label_overrides = ReadOverrides(from, reader);
  config.drained_minions = ReadStrings(from.drained_minions(), reader);
  config.writer_nonce = from.writer_nonce();
  return stored;
}

MinionDescription Read(const wire::Minion& from, FrameReader* reader) {
  MinionDescription minion;
  minion.name = ReadString(from.name(), reader);
  minion.instance = from.instance();
  minion.labels = ReadLabels(from, reader);
  minion.slots = from.slots();
  minion.connections = from.connections();
  minion.memory_bytes = from.memory_bytes();
  minion.accelerators = from.accelerators();
  minion.data_centre = ReadString(from.data_centre(), reader);
  minion.rack = ReadString(from.rack(), reader);
  minion.draining = from.draining();
  return minion;
}

LedgerEntry Read(const wire::LedgerEntry& from, FrameReader* reader) {
  LedgerEntry entry;
  entry.id = Read(*from.id(), reader);
  entry.job_size = from.job_size();
  entry.body_digest = from.body_digest();
  entry.state = Read(from.state(), reader);
  entry.output = ReadBytes(from.output(), reader);
  entry.output_dropped = from.output_dropped();
  return entry;
}

TaskOutcome Read(const wire::Outcome& from, FrameReader* reader) {
  std::string text = ReadBytes(from.text(), reader);
  switch (from.kind()) {
    case wire::OutcomeKind::Done:
      return Done{std::move(text)};
    case wire::OutcomeKind::Failed:
      return Failed{std::move(text)};
    case wire::OutcomeKind::Unknown:
      return Unknown{std::move(text)};
    case wire::OutcomeKind::NotRun:
      if (const auto ground = from.ground()) {
        return NotRun{std::move(text), Read(*ground, reader)};
      }
      break;
  }
  reader->Fail(WireErrorKind::kMalformed,
               "a task's outcome is of no known kind or lacks its proof; "
               "check the sender");
  return Unknown{};
}

}  // namespace dottereltrack
