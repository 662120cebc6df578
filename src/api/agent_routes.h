#pragma once

#include <string>
#include <variant>

#include "api/reply.h"

namespace dottereltrack {

// What a request to an agent asks for.
enum class AgentRoute { kAnnounce, kLeave, kHealth, kMetrics, kState };

// The route of a request, or the reply that names the valid paths and methods.
std::variant<AgentRoute, ApiReply> AgentRouteOf(const std::string& method,
                                                const std::string& path);

}  // namespace dottereltrack
