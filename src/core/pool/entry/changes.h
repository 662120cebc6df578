#pragma once

#include <variant>
#include <vector>

#include "core/change_set.h"
#include "core/pool/decision.h"
#include "core/pool/entry/board.h"

namespace dottereltrack::pool {

struct SetConfig {
  PoolConfig config;
  Bytes text;
};
struct SetEvacuations {
  EvacuationRegisters evacuations;
};
struct SetConfigFetch {
  ConfigFetch fetch;
};
struct SetConfigUpload {
  BootTime ends_at{0};
};
struct SetEntryStopping {
  BootTime since{0};
};
// Tasks whose latest start is before this time count as late from now on.
struct SetLateBefore {
  BootTime time{0};
};
// A client's job has been accepted.
struct AddAcceptedJob {
  JobDigest digest = 0;
};
struct SetAcceptedJobs {
  AcceptedJobLog log;
};
// The jobs accepted so far are announced in this turn.
struct SetAnnouncementDue {};
struct SetPausedUntil {
  BootTime time{0};
};
struct SetOverload {
  OverloadState state;
};

using EntryRowChange = std::variant<
    Put<JobRow>, Erase<JobRow>, Put<TaskRow>, Erase<TaskRow>,
    Put<UnstartedTasks>, Erase<UnstartedTasks>, Put<AgentRow>, Erase<AgentRow>,
    Put<LinkRow>, Erase<LinkRow>, Put<KnownEntry>, Erase<KnownEntry>,
    Put<MinionCrash>, Erase<MinionCrash>, Put<OfferRow>, Erase<OfferRow>,
    Put<DemandRow>, Erase<DemandRow>, Put<ForwardedCall>, Erase<ForwardedCall>,
    Put<PastJob>, Erase<PastJob>, Put<PendingCancel>, Erase<PendingCancel>,
    Put<PeerJobs>, Erase<PeerJobs>, Put<PendingSubmission>,
    Erase<PendingSubmission>, AddAcceptedJob, SetAcceptedJobs,
    SetAnnouncementDue, SetPausedUntil, SetLateBefore, SetOverload,
    SetEvacuations, Put<ConfigPeer>, Erase<ConfigPeer>, SetConfig,
    SetConfigFetch, SetConfigUpload, SetEntryStopping>;

// Kind of the reply to a client.
enum class ReplyKind {
  kCompleted,
  kFailed,
  kCancelled,
  // kNoQueue to kUnsupported: the job was not accepted and never runs.
  kNoQueue,
  kNoConfig,
  kOverloaded,
  kNoMinions,
  kStopping,
  kUnsupported,
  // The job may have begun and was given up; its runs are stopped.
  kGivenUp,
  kUnknownJob,
  // Not all entries that may own the job could be asked to cancel it.
  kCancelUndecided,
};

struct Reply {
  CallId call;
  ReplyKind kind = ReplyKind::kCompleted;
  // Delay after which a refused client should try again.
  milliseconds retry_after{0};
  friend bool operator==(const Reply&, const Reply&) = default;
};
struct SendMessage {
  LinkId link;
  Message message;
};
struct DialPeer {
  Endpoint address;
};
// Closes a link immediately and discards its unsent messages.
struct AbortLink {
  LinkId link;
};
struct ExitEntry {};

using EntryEffect =
    std::variant<Reply, SendMessage, DialPeer, AbortLink, ExitEntry, Decision>;

// Row changes and effects that a controller of the entry requests.
using EntryChanges = ChangeSet<EntryRowChange, EntryEffect>;

// Applies the row changes in order and returns the effects, which the caller
// executes.
std::vector<EntryEffect> Apply(EntryBoard* board, EntryChanges changes);

}  // namespace dottereltrack::pool
