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
};

// What a request asks for.
struct Route {
  RouteKind kind = RouteKind::kSubmitJob;
  // Set for fetching and cancelling a job.
  SubmissionId submission;
  friend bool operator==(const Route&, const Route&) = default;
};

// The route of a request, or the reply that names the valid paths and methods.
std::variant<Route, ApiReply> RouteOf(const std::string& method,
                                      const std::string& path);

// Whether the route needs the operators' token.
bool IsForOperators(RouteKind kind);

// The reply to an operator's call without the token.
ApiReply RenderUnauthorized();

}  // namespace dottereltrack
