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
  // Empty if the connection attempt failed.
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
// Entries that the settings list; the list may be out of date.
struct AgentSeedsRead {
  std::vector<Endpoint> entries;
};
struct MinionReported {
  MinionReport report;
};
struct MinionLeft {
  std::string id;
};

// Response of the minion to a call, or why there is none.
enum class CallAnswer {
  kAccepted,
  kNoRoom,
  // The run's number is not higher than one that has ended or been stopped.
  kOldNumber,
  // The lease in the call had already expired.
  kLate,
  // The minion has seen a higher fencing token.
  kFenced,
  // Another instance of the minion answered.
  kOtherInstance,
  // The minion did not carry out the call; a later attempt may succeed.
  kUnavailable,
  // No connection could be established, so nothing was sent.
  kNotConnected,
  kInvalid,
  // No response arrived, or one that does not tell whether the call was carried
  // out. The minion may have done so or may still do so.
  kUnanswered,
};

struct StartAnswered {
  RunKey run;
  CallAnswer answer = CallAnswer::kUnanswered;
  // What was received, for the log.
  std::string detail{};
};
struct StopAnswered {
  RunKey run;
  CallAnswer answer = CallAnswer::kUnanswered;
  std::string detail{};
  // Token of the call; if unset, the current one.
  std::optional<std::uint64_t> fencing_token{};
};

// A run that the minion lists.
struct ListedRun {
  RunKey run;
  int percent = 0;
  friend bool operator==(const ListedRun&, const ListedRun&) = default;
};
// A run end that the minion lists. Each instance numbers its run ends from 1.
struct ListedEnd {
  std::uint64_t number = 0;
  RunKey run;
  RunEnd end = RunEnd::kLost;
  friend bool operator==(const ListedEnd&, const ListedEnd&) = default;
};
struct PollAnswered {
  std::uint64_t sequence = 0;
  CallAnswer answer = CallAnswer::kUnanswered;
  std::uint64_t clock_ms = 0;
  std::uint64_t started_ms = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  // Rows of the lists that cannot be read, and why the first of them cannot.
  std::uint64_t refused_rows = 0;
  std::string first_row_problem;
  // What was received, for the log.
  std::string detail;
};
struct AgentTick {};
struct AgentStopRequested {};
// The process was paused for a while. Messages from entries that follow in the
// same turn are ignored.
struct AgentPaused {
  milliseconds duration{0};
};

using AgentEvent =
    std::variant<EntryDialed, EntryLinkClosed, EntryMessage, EntriesRegistered,
                 AgentSeedsRead, MinionReported, MinionLeft, StartAnswered,
                 StopAnswered, PollAnswered, AgentTick, AgentStopRequested,
                 AgentPaused>;

}  // namespace dottereltrack::pool
