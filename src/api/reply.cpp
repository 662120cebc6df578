#include "api/reply.h"

#include <utility>

#include "api/json_text.h"

namespace dottereltrack {
namespace {

ApiReply Render(int status, nlohmann::json error,
                std::optional<milliseconds> retry_after) {
  ApiReply reply;
  reply.status = status;
  reply.retry_after = retry_after;
  if (retry_after) error["retry_after_ms"] = retry_after->count();
  reply.body = ToJsonText({{"error", std::move(error)}});
  return reply;
}

}  // namespace

Refusal InvalidRequest(std::string message) {
  return {RefusalKind::kInvalidRequest, std::move(message),
          ProveNeverAccepted(), std::nullopt};
}

int HttpStatusFor(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kInvalidRequest:
    case RefusalKind::kUnknownTeam:
    case RefusalKind::kKeyInFuture:
    case RefusalKind::kDeadlineTooShort:
      return 400;
    case RefusalKind::kNotFound:
      return 404;
    case RefusalKind::kKeyReused:
    case RefusalKind::kKeyExpired:
    case RefusalKind::kVersionConflict:
      return 409;
    case RefusalKind::kOverloaded:
    case RefusalKind::kQuotaExceeded:
      return 429;
    case RefusalKind::kNoDispatcher:
    case RefusalKind::kStopping:
    case RefusalKind::kStoreUnavailable:
    case RefusalKind::kUndecided:
      return 503;
  }
  return 503;
}

ApiReply RenderRefusal(const Refusal& refusal) {
  return Render(HttpStatusFor(refusal.kind),
                {{"code", ToString(refusal.kind)},
                 {"message", refusal.message},
                 {"outcome", refusal.not_run ? "not_run" : "unknown"}},
                refusal.retry_after);
}

ApiReply RenderError(int status, const std::string& code,
                     const std::string& message) {
  return Render(status, {{"code", code}, {"message", message}}, std::nullopt);
}

ApiReply RenderBodyTooLarge(std::size_t size, std::size_t limit) {
  ApiReply reply = RenderRefusal(InvalidRequest(
      "the body has " + std::to_string(size) + " bytes; send at most " +
      std::to_string(limit) + ", for instance as several jobs"));
  reply.status = 413;
  return reply;
}

}  // namespace dottereltrack
