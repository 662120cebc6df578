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
struct SetStopping {
  BootTime since{0};
};

using EntryRowChange =
    std::variant<Put<JobRow>, Erase<JobRow>, Put<TaskRow>, Erase<TaskRow>,
                 Put<AgentRow>, Erase<AgentRow>, Put<LinkRow>, Erase<LinkRow>,
                 Put<KnownEntry>, Erase<KnownEntry>, SetConfig, SetStopping>;

// What a client is told.
enum class ReplyKind {
  kCompleted,
  kFailed,
  kCancelled,
  // The job was not accepted and never runs.
  kNoQueue,
  kNoConfig,
  kOverloaded,
  kNoMinions,
  kStopping,
  kUnsupported,
  // The job had begun and was given up; nothing of it runs on.
  kGivenUp,
  kUnknownJob,
};

struct Reply {
  CallId call;
  ReplyKind kind = ReplyKind::kCompleted;
  // When a refused client should come back.
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
// Ends a link at once; what waits on it is discarded.
struct AbortLink {
  LinkId link;
};
struct Exit {};

using EntryEffect =
    std::variant<Reply, SendMessage, DialPeer, AbortLink, Exit, Decision>;

// What a controller of the entry wants changed and sent.
using EntryChanges = ChangeSet<EntryRowChange, EntryEffect>;

// Applies the row changes in order.
void Apply(EntryBoard* board, const EntryChanges& changes);

}  // namespace dottereltrack::pool
