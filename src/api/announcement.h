#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "api/reply.h"
#include "core/cell.h"
#include "core/minion.h"

namespace dottereltrack {

// HTTP target to which the agent sends the tasks of one minion instance.
struct MinionTarget {
  Endpoint address;
  // Request path for the POST that starts a task.
  std::string path = "/";
  friend auto operator<=>(const MinionTarget&, const MinionTarget&) = default;
};

// Body of POST /v1/announce, with which a minion registers with its agent.
struct Announcement {
  MinionDescription minion;
  MinionTarget target;
  friend bool operator==(const Announcement&, const Announcement&) = default;
};

// Parses the body of POST /v1/announce. The data centre and rack are taken from
// `defaults` if the body omits them. A refusal names the invalid field and how
// to correct it.
ApiResult<Announcement> ParseAnnouncement(std::string_view body,
                                          const MinionDescription& defaults);

// Parses the body of POST /v1/leave, which may be empty. Returns the id of the
// leaving minion instance if the body contains one.
ApiResult<std::optional<std::uint64_t>> ParseLeave(std::string_view body);

// Builds the reply to an accepted announce or leave request.
ApiReply RenderAccepted(const std::string& minion);
// Builds the 409 reply to a leave request from an instance other than the
// announced one.
ApiReply RenderOtherInstance();

}  // namespace dottereltrack
