#pragma once

#include <variant>

#include "core/ids.h"
#include "core/messages.h"
#include "core/minion.h"

namespace dottereltrack {

struct EntrySays {
  LinkId link;
  EntryToAgent message;
};

// The dial of that address has succeeded; the agent speaks first.
struct EntryDialed {
  Endpoint address;
  LinkId link;
};

struct EntryDialFailed {
  Endpoint address;
};

struct EntryLinkClosed {
  LinkId link;
};

// The minion has announced itself, or has announced a change.
struct MinionAnnounces {
  MinionDescription minion;
};

// The minion takes no more work and will stop when it is idle.
struct MinionLeaves {};

// How an attempt to run a task on the minion has ended.
enum class AttemptEnd {
  kDone,
  kFailed,
  // No connection was made, so the minion has seen nothing of the task.
  kNotStarted,
  kUnknown,
};

struct AttemptEnded {
  TaskId task;
  AttemptEnd end = AttemptEnd::kUnknown;
  Bytes output;
  microseconds run_time{0};
};

struct AgentTick {};
struct AgentStopRequested {};

using AgentEvent = std::variant<EntrySays, EntryDialed, EntryDialFailed,
                                EntryLinkClosed, MinionAnnounces, MinionLeaves,
                                AttemptEnded, AgentTick, AgentStopRequested>;

}  // namespace dottereltrack
