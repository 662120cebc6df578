#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/pool/agent/board.h"

namespace dottereltrack::pool {

struct EntryDialed {
  Endpoint address;
  // Empty if the dial has failed.
  std::optional<LinkId> link;
};
struct EntryLinkClosed {
  LinkId link;
};
struct EntryMessage {
  LinkId link;
  Message message;
};
struct EntriesRegistered {
  std::vector<Endpoint> entries;
};
// Entries that the settings name; they may be out of date.
struct EntriesNamed {
  std::vector<Endpoint> entries;
};
struct MinionReported {
  MinionReport report;
};
struct MinionLeft {
  std::string id;
};

// How the minion has answered a call.
enum class CallAnswer {
  kAccepted,
  kNoRoom,
  // The run's number is not higher than one that has ended or been stopped.
  kOldNumber,
  // The lease in the call had already expired.
  kLate,
  // The minion has seen a higher fencing token.
  kFenced,
  // Another instance of the minion has answered.
  kOtherInstance,
  // The minion has done nothing and may do so later.
  kUnavailable,
  // Nothing was sent, since no connection could be made.
  kNotConnected,
  kInvalid,
  // No answer; the call may be carried out, also later.
  kUnanswered,
};

struct StartAnswered {
  RunKey run;
  CallAnswer answer = CallAnswer::kUnanswered;
};
struct StopAnswered {
  RunKey run;
  CallAnswer answer = CallAnswer::kUnanswered;
};

// A run that the minion lists.
struct ListedRun {
  RunKey run;
  int percent = 0;
  friend bool operator==(const ListedRun&, const ListedRun&) = default;
};
// An end that the minion lists. Ends are numbered from 1 in each instance.
struct ListedEnd {
  std::uint64_t number = 0;
  RunKey run;
  RunEnd end = RunEnd::kLost;
  friend bool operator==(const ListedEnd&, const ListedEnd&) = default;
};
struct LookAnswered {
  std::uint64_t sequence = 0;
  CallAnswer answer = CallAnswer::kUnanswered;
  std::uint64_t clock_ms = 0;
  std::uint64_t started_ms = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};
struct AgentTick {};
struct AgentStopRequested {};
// The process did not run for a while. Messages of entries that follow in the
// same turn are ignored.
struct AgentPaused {
  milliseconds length{0};
};

using AgentEvent =
    std::variant<EntryDialed, EntryLinkClosed, EntryMessage, EntriesRegistered,
                 EntriesNamed, MinionReported, MinionLeft, StartAnswered,
                 StopAnswered, LookAnswered, AgentTick, AgentStopRequested,
                 AgentPaused>;

}  // namespace dottereltrack::pool
