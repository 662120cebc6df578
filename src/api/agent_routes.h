#pragma once

#include <string>
#include <variant>

#include "api/reply.h"

namespace dottereltrack {

// Endpoints of an agent's HTTP interface.
enum class AgentRoute { kAnnounce, kLeave, kHealth, kMetrics, kState };

// Returns the route for a request, or a 404 or 405 reply that lists the valid
// paths or methods.
std::variant<AgentRoute, ApiReply> FindAgentRoute(const std::string& method,
                                                  const std::string& path);

}  // namespace dottereltrack
