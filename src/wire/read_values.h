#pragma once

#include <string>
#include <vector>

#include "core/cell.h"
#include "core/job.h"
#include "core/messages.h"
#include "core/minion.h"
#include "messages_generated.h"
#include "wire/decode_context.h"

namespace dottereltrack {

// The functions below convert verified parts of a frame. On error they record
// it in the context and return a default value.

// Values of fixed size.
SubmissionId Read(const wire::SubmissionId& from, DecodeContext* context);
TaskId Read(const wire::TaskId& from, DecodeContext* context);
Fence Read(const wire::Fence& from, DecodeContext* context);
AgentAck Read(const wire::AgentAck& from, DecodeContext* context);
Needs Read(const wire::Needs& from, DecodeContext* context);
WitnessEntry Read(const wire::WitnessEntry& from, DecodeContext* context);
LedgerState Read(wire::LedgerState from, DecodeContext* context);
StartRefusal Read(wire::StartRefusal from, DecodeContext* context);
RefusalKind Read(wire::RefusalKind from, DecodeContext* context);
ProofNotStarted Read(wire::Ground from, DecodeContext* context);
// A duration of more than a year, positive or negative, is an error, so that
// adding it to a time cannot overflow.
milliseconds ReadMilliseconds(std::int64_t count, DecodeContext* context);
microseconds ReadMicroseconds(std::int64_t count, DecodeContext* context);

// Values of variable size. An absent string or list is read as empty.
std::string ReadString(const flatbuffers::String* from, DecodeContext* context);
std::string ReadBytes(const flatbuffers::Vector<std::uint8_t>* from,
                      DecodeContext* context);
StoredTable Read(const wire::StoredTable& from, DecodeContext* context);
StoredConfig Read(const wire::StoredConfig& from, DecodeContext* context);
MinionDescription Read(const wire::Minion& from, DecodeContext* context);
LedgerEntry Read(const wire::LedgerEntry& from, DecodeContext* context);
TaskOutcome Read(const wire::Outcome& from, DecodeContext* context);
Member Read(const wire::Member& from, DecodeContext* context);
RosterAgent Read(const wire::RosterAgent& from, DecodeContext* context);
LostAgent Read(const wire::LostAgent& from, DecodeContext* context);

// Reads a list of tables or structs. A `Read` overload for the element type
// must be declared in this namespace.
template <typename List>
auto ReadList(const List* from, DecodeContext* context) {
  std::vector<decltype(Read(*from->Get(0), context))> list;
  if (from == nullptr || !context->TryReserve(from->size(), sizeof(list[0]))) {
    return list;
  }
  list.reserve(from->size());
  for (const auto* it : *from) {
    if (context->has_error()) break;
    list.push_back(Read(*it, context));
  }
  return list;
}

}  // namespace dottereltrack
