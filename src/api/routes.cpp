#include "api/routes.h"

#include <string_view>

namespace dottereltrack {
namespace {

struct RouteRow {
  std::string_view method;
  std::string_view path;
  RouteKind kind;
  bool requires_operator_token;
};

// A path that ends in '/' is a prefix that a submission id follows.
constexpr RouteRow kRoutes[] = {
    {"POST", "/v1/jobs", RouteKind::kSubmitJob, false},
    {"GET", "/v1/jobs/", RouteKind::kFetchJob, false},
    {"DELETE", "/v1/jobs/", RouteKind::kCancelJob, false},
    {"GET", "/v1/config", RouteKind::kGetConfig, true},
    {"PUT", "/v1/config", RouteKind::kPutConfig, true},
    {"POST", "/v1/confirm-dead", RouteKind::kConfirmDead, true},
    {"GET", "/v1/status", RouteKind::kGetStatus, true},
    {"GET", "/healthz", RouteKind::kGetHealth, false},
    {"GET", "/metrics", RouteKind::kGetMetrics, false},
    {"GET", "/debug/state", RouteKind::kGetState, true},
    {"PUT", "/v1/log-level", RouteKind::kSetLogLevel, true},
};

bool MatchesPath(const RouteRow& row, std::string_view path) {
  if (row.path.back() != '/') return path == row.path;
  return path.size() > row.path.size() &&
         path.substr(0, row.path.size()) == row.path;
}

std::variant<Route, ApiReply> MakeRoute(const RouteRow& row,
                                        std::string_view path) {
  Route route{row.kind, {}};
  if (row.path.back() != '/') return route;
  const auto id = ParseSubmissionId(path.substr(row.path.size()));
  if (!id) {
    return RenderError(404, "not_found",
                       "the path ends in no job id; use the 32 hexadecimal "
                       "digits of the field 'id' of an answer");
  }
  route.submission = *id;
  return route;
}

}  // namespace

std::variant<Route, ApiReply> FindRoute(const std::string& method,
                                        const std::string& path) {
  std::string valid_methods;
  for (const RouteRow& row : kRoutes) {
    if (!MatchesPath(row, path)) continue;
    if (row.method == method) return MakeRoute(row, path);
    valid_methods += " " + std::string(row.method);
  }
  if (!valid_methods.empty()) {
    return RenderError(
        405, "method_not_allowed",
        "the path does not take " + method + "; use" + valid_methods);
  }
  std::string valid_routes;
  for (const RouteRow& row : kRoutes) {
    valid_routes +=
        " " + std::string(row.method) + " " + std::string(row.path) + ",";
  }
  valid_routes.pop_back();
  return RenderError(404, "not_found",
                     "no such path; use one of:" + valid_routes);
}

bool RequiresOperatorToken(RouteKind kind) {
  for (const RouteRow& row : kRoutes) {
    if (row.kind == kind) return row.requires_operator_token;
  }
  return true;
}

ApiReply RenderUnauthorized() {
  return RenderError(401, "unauthorized",
                     "operators' calls need the header 'Authorization: Bearer "
                     "TOKEN' with the operator_token of the entry's settings");
}

}  // namespace dottereltrack
