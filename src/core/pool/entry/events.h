#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/pool/entry/board.h"
#include "core/pool/entry/job_submitted.h"

namespace dottereltrack::pool {

// The client of a call has closed its connection.
struct CallerDisconnected {
  CallId call;
};
struct JobCancelRequested {
  CallId call;
  std::uint64_t job = 0;
};
// A link was opened, or has received a part of a message.
struct LinkOpened {
  LinkId link;
};
struct LinkClosed {
  LinkId link;
};
struct MessageReceived {
  LinkId link;
  Message message;
};
struct PeerDialed {
  Endpoint address;
  // Empty if the connection attempt failed.
  std::optional<LinkId> link;
};
// A configuration from the store or another entry, with its text.
struct ConfigRead {
  PoolConfig config;
  Bytes text;
};
// The evacuations that the store holds.
struct EvacuationsRead {
  EvacuationView view;
};
// A text that was received over this link cannot be read.
struct ConfigRefused {
  LinkId link;
};
// All entries that the store lists.
struct EntriesListed {
  std::vector<Endpoint> entries;
};
// Entries that the settings list; the list may be out of date.
struct EntrySeedsRead {
  std::vector<Endpoint> entries;
};
struct EntryTick {};
// Load of the event loop, averaged over about a second.
struct LoopLoadMeasured {
  // Share of time, from 0 to 1, in which the loop runs handlers.
  double busy_share = 0;
  milliseconds tick_lateness{0};
};
struct EntryStopRequested {};
// The process was paused for a while; what it knows of others is out of date.
struct EntryPaused {
  milliseconds duration{0};
};

using EntryEvent =
    std::variant<JobSubmitted, CallerDisconnected, JobCancelRequested,
                 LinkOpened, LinkClosed, MessageReceived, PeerDialed,
                 ConfigRead, ConfigRefused, EvacuationsRead, EntriesListed,
                 EntrySeedsRead, EntryTick, LoopLoadMeasured,
                 EntryStopRequested, EntryPaused>;

}  // namespace dottereltrack::pool
