#pragma once

#include <string>
#include <variant>

#include "api/reply.h"
#include "core/ids.h"

namespace dottereltrack {

enum class RouteKind {
  kSubmitJob,
  kFetchJob,
  kCancelJob,
  kGetConfig,
  kPutConfig,
  kConfirmDead,
  kGetStatus,
  kGetHealth,
  kGetMetrics,
  kGetState,
  kSetLogLevel,
};

// A matched request: its endpoint and path parameter.
struct Route {
  RouteKind kind = RouteKind::kSubmitJob;
  // Set only for kFetchJob and kCancelJob.
  SubmissionId submission;
  friend bool operator==(const Route&, const Route&) = default;
};

// Returns the route for a request, or a 404 or 405 reply. The reply lists the
// valid paths or methods, except for a malformed job id.
std::variant<Route, ApiReply> FindRoute(const std::string& method,
                                        const std::string& path);

// Whether requests to the endpoint must carry the operator token.
bool RequiresOperatorToken(RouteKind kind);

// Builds the 401 reply to an operator request without a valid token.
ApiReply RenderUnauthorized();

}  // namespace dottereltrack
