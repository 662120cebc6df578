#include "api/agent_routes.h"

#include <string_view>

namespace dottereltrack {
namespace {

struct RouteRow {
  std::string_view method;
  std::string_view path;
  AgentRoute route;
};

constexpr RouteRow kRoutes[] = {
    {"POST", "/v1/announce", AgentRoute::kAnnounce},
    {"POST", "/v1/leave", AgentRoute::kLeave},
    {"GET", "/healthz", AgentRoute::kHealth},
    {"GET", "/metrics", AgentRoute::kMetrics},
    {"GET", "/debug/state", AgentRoute::kState},
};

}  // namespace

std::variant<AgentRoute, ApiReply> FindAgentRoute(const std::string& method,
                                                  const std::string& path) {
  std::string valid_routes;
  for (const RouteRow& row : kRoutes) {
    if (row.path == path && row.method == method) return row.route;
    if (row.path == path) {
      return RenderError(405, "method_not_allowed",
                         "the path does not take " + method + "; use " +
                             std::string(row.method));
    }
    valid_routes += (valid_routes.empty() ? "" : ", ") +
                    std::string(row.method) + " " + std::string(row.path);
  }
  return RenderError(404, "not_found",
                     "no such path; use one of: " + valid_routes);
}

}  // namespace dottereltrack
