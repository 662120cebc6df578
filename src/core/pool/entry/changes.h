#pragma once

#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

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
struct EntryChanges {
  std::vector<EntryRowChange> rows;
  std::vector<EntryEffect> effects;

  template <typename Change>
  void Add(Change change) {
    if constexpr (std::is_constructible_v<EntryRowChange, Change>) {
      rows.emplace_back(std::move(change));
    } else {
      effects.emplace_back(std::move(change));
    }
  }
  void Append(EntryChanges other) {
    for (auto& row : other.rows) rows.push_back(std::move(row));
    for (auto& effect : other.effects) effects.push_back(std::move(effect));
  }
};

// Applies the row changes in order.
void Apply(EntryBoard* board, const EntryChanges& changes);

}  // namespace dottereltrack::pool
