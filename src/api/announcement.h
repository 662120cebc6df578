#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "api/reply.h"
#include "core/cell.h"
#include "core/minion.h"

namespace dottereltrack {

// Where the agent sends the tasks of one minion instance.
struct MinionTarget {
  Endpoint address;
  // Path of the POST of a task.
  std::string path = "/";
  friend auto operator<=>(const MinionTarget&, const MinionTarget&) = default;
};

// What a minion says of itself in POST /v1/announce.
struct Announcement {
  MinionDescription minion;
  MinionTarget target;
  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// Parses the body of an announcement. `defaults` gives the data centre and rack
// that count where the body names none. The refusal names the field and the
// remedy.
ApiResult<Announcement> ParseAnnouncement(std::string_view body,
                                          const MinionDescription& defaults);

// Parses the body of POST /v1/leave, which may be empty. Returns the instance
// that leaves, if the body names one.
ApiResult<std::optional<std::uint64_t>> ParseLeave(std::string_view body);

// The reply to an accepted announcement, or to a leave.
ApiReply RenderAccepted(const std::string& minion);
// The reply to a leave of another instance than the one that is announced.
ApiReply RenderOtherInstance();

}  // namespace dottereltrack
