#pragma once

#include <variant>

#include "core/ids.h"
#include "core/messages.h"
#include "core/minion.h"

namespace dottereltrack {

struct EntryMessageReceived {
  LinkId link;
  EntryToAgent message;
};

// A connection to `address` was established. The agent sends the first message.
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

// The minion announced itself or a change of its description.
struct MinionAnnounced {
  MinionDescription minion;
};

// The minion accepts no more tasks and will stop when it is idle.
struct MinionLeaving {};

// How an attempt to run a task on the minion ended.
enum class AttemptEnd {
  kDone,
  kFailed,
  // No connection was established, so the minion received nothing of the task.
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

using AgentEvent =
    std::variant<EntryMessageReceived, EntryDialed, EntryDialFailed,
                 EntryLinkClosed, MinionAnnounced, MinionLeaving, AttemptEnded,
                 AgentTick, AgentStopRequested>;

}  // namespace dottereltrack
