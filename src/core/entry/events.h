#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/messages.h"

namespace dottereltrack {

// A caller submits a job. The key was made by this entry if the caller sent
// none, so no other entry can know it.
struct CallerSubmits {
  CallId call;
  Shared<SubmitRequest> request;
  bool key_made_here = false;
};

struct CallerFetches {
  CallId call;
  SubmissionId submission;
};

struct CallerCancels {
  CallId call;
  SubmissionId submission;
};

// The caller's connection is gone; nobody waits for the reply.
struct CallerLeft {
  CallId call;
};

struct AgentSays {
  LinkId link;
  AgentToEntry message;
};

struct PeerSays {
  LinkId link;
  EntryToEntry message;
};

// This entry's connection to a peer is up; the peer has not spoken yet.
struct PeerDialed {
  LinkId link;
  EntryId peer;
};

struct PeerDialFailed {
  EntryId peer;
};

struct LinkClosed {
  LinkId link;
};

// The store's table as read or as seen by the watch. Revision 0 means that the
// store has no table yet.
struct TableSeen {
  StoredTable table;
};

struct ConfigSeen {
  StoredConfig config;
};

// A read of the table or of the configuration failed.
struct StoreReadFailed {};

enum class WriteStatus {
  kApplied,
  // Another writer was first.
  kConflict,
  // The store did not take the write.
  kNotApplied,
  // The write may have taken effect; only reading back can tell.
  kUndecided,
};

struct TableWritten {
  WriteStatus status = WriteStatus::kNotApplied;
  // Revision of the written value; set when applied.
  std::uint64_t revision = 0;
};

struct ConfigWritten {
  CallId call;
  WriteStatus status = WriteStatus::kNotApplied;
  std::uint64_t revision = 0;
};

struct OperatorSetsConfig {
  CallId call;
  std::uint64_t expected_version = 0;
  CellConfig config;
};

// An operator states that these agents are dead and will not return.
struct OperatorConfirmsDead {
  CallId call;
  std::vector<AgentId> agents;
};

struct Tick {};

struct StopRequested {};

using EntryEvent =
    std::variant<CallerSubmits, CallerFetches, CallerCancels, CallerLeft,
                 AgentSays, PeerSays, PeerDialed, PeerDialFailed, LinkClosed,
                 TableSeen, ConfigSeen, StoreReadFailed, TableWritten,
                 ConfigWritten, OperatorSetsConfig, OperatorConfirmsDead, Tick,
                 StopRequested>;

}  // namespace dottereltrack
