#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/job.h"
#include "core/messages.h"

namespace dottereltrack {

// A caller submits a job. If the caller sent no key, this entry has generated
// one, which no other entry can know.
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

// The caller's connection was closed, so no reply is needed.
struct CallerDisconnected {
  CallId call;
};

struct AgentMessageReceived {
  LinkId link;
  AgentToEntry message;
};

struct PeerMessageReceived {
  LinkId link;
  EntryToEntry message;
};

// A dialled connection to a peer is established; the peer has not sent its
// hello yet.
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

// The store's table, from a read or from the watch. Revision 0 means that the
// store has no table yet.
struct TableObserved {
  StoredTable table;
};

struct ConfigObserved {
  StoredConfig config;
};

// A read of the table or of the configuration failed.
struct StoreReadFailed {};

enum class WriteStatus {
  kApplied,
  // Rejected, because the stored value is newer than the expected revision.
  kConflict,
  // The store did not apply the write.
  kNotApplied,
  // The outcome is unknown until the value is read back.
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
    std::variant<CallerSubmits, CallerFetches, CallerCancels,
                 CallerDisconnected, AgentMessageReceived, PeerMessageReceived,
                 PeerDialed, PeerDialFailed, LinkClosed, TableObserved,
                 ConfigObserved, StoreReadFailed, TableWritten, ConfigWritten,
                 OperatorSetsConfig, OperatorConfirmsDead, Tick, StopRequested>;

}  // namespace dottereltrack
