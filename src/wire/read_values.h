#pragma once

#include <string>
#include <vector>

#include "core/cell.h"
#include "core/job.h"
#include "core/messages.h"
#include "core/minion.h"
#include "messages_generated.h"
#include "wire/frame_reader.h"

namespace dottereltrack {

// The functions below convert verified parts of a frame. On error they record
// it in the reader and return a default value.

// Values of fixed size.
SubmissionId Read(const wire::SubmissionId& from, FrameReader* reader);
TaskId Read(const wire::TaskId& from, FrameReader* reader);
Fence Read(const wire::Fence& from, FrameReader* reader);
AgentAck Read(const wire::AgentAck& from, FrameReader* reader);
Needs Read(const wire::Needs& from, FrameReader* reader);
WitnessEntry Read(const wire::WitnessEntry& from, FrameReader* reader);
LedgerState Read(wire::LedgerState from, FrameReader* reader);
StartRefusal Read(wire::StartRefusal from, FrameReader* reader);
RefusalKind Read(wire::RefusalKind from, FrameReader* reader);
ProofNotStarted Read(wire::Ground from, FrameReader* reader);
// A duration of more than a year, positive or negative, is an error, so that
// adding it to a time cannot overflow.
milliseconds ReadMilliseconds(std::int64_t count, FrameReader* reader);
microseconds ReadMicroseconds(std::int64_t count, FrameReader* reader);

// Values of variable size. An absent string or list is read as empty.
std::string ReadString(const flatbuffers::String* from, FrameReader* reader);
std::string ReadBytes(const flatbuffers::Vector<std::uint8_t>* from,
                      FrameReader* reader);
StoredTable Read(const wire::StoredTable& from, FrameReader* reader);
StoredConfig Read(const wire::StoredConfig& from, FrameReader* reader);
MinionDescription Read(const wire::Minion& from, FrameReader* reader);
LedgerEntry Read(const wire::LedgerEntry& from, FrameReader* reader);
TaskOutcome Read(const wire::Outcome& from, FrameReader* reader);
Member Read(const wire::Member& from, FrameReader* reader);
RosterAgent Read(const wire::RosterAgent& from, FrameReader* reader);
LostAgent Read(const wire::LostAgent& from, FrameReader* reader);

// Reads a list of tables or structs. A `Read` overload for the element type
// must be declared in this namespace.
template <typename List>
auto ReadList(const List* from, FrameReader* reader) {
  std::vector<decltype(Read(*from->Get(0), reader))> list;
  if (from == nullptr || !reader->Charge(from->size(), sizeof(list[0]))) {
    return list;
  }
  list.reserve(from->size());
  for (const auto* it : *from) {
    if (reader->failed()) break;
    list.push_back(Read(*it, reader));
  }
  return list;
}

}  // namespace dottereltrack
