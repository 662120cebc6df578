// Converts the HTTP requests of callers and operators to events, and sends the
// replies.

#include <utility>

#include "apps/entry/entry_process.h"
#include "apps/entry/http_response.h"
#include "runtime/http/reception_report.h"

namespace dottereltrack {
namespace {

// Maximum rows per table in /debug/state, which limits the dump to a few MB.
constexpr std::size_t kMaxStateRows = 1'000;

ApiReply ChangeLogLevel(const std::string& body) {
  const auto change = ParseLogLevelChange(body);
  if (!change) return RenderRefusal(change.error());
  const auto part = ParseLogPart(change.value().part);
  const auto level = ParseLogLevel(change.value().level);
  if (!part || !level) {
    return RenderRefusal(InvalidRequest(
        "no such part or level; use a part of main, settings, http, links, "
        "store, cell, minion and a level of debug, info, warning, error, off"));
  }
  SetLogLevel(*part, *level);
  ApiReply reply;
  reply.body = "{}\n";
  return reply;
}

}  // namespace

void EntryProcess::OnHttpRequest(const HttpRequest& request,
                                 HttpReplier reply) {
  const auto route_or_error = FindRoute(request.method, request.path);
  if (const auto* error = std::get_if<ApiReply>(&route_or_error)) {
    reply(ToHttpResponse(*error));
    return;
  }
  const Route& route = std::get<Route>(route_or_error);
  if (RequiresOperatorToken(route.kind) &&
      !IsAuthorized(GetHeader(request, "authorization"),
                    settings_.operator_token)) {
    reply(ToHttpResponse(RenderUnauthorized()));
    return;
  }
  HandleRequest(route, request, std::move(reply));
}

void EntryProcess::HandleRequest(const Route& route, const HttpRequest& request,
                                 HttpReplier reply) {
  switch (route.kind) {
    case RouteKind::kSubmitJob:
      return Submit(request, std::move(reply));
    case RouteKind::kFetchJob:
      return Post(CallerFetches{AddPendingCall(request, std::move(reply), ""),
                                route.submission});
    case RouteKind::kCancelJob:
      return Post(CallerCancels{AddPendingCall(request, std::move(reply), ""),
                                route.submission});
    case RouteKind::kPutConfig:
      return ChangeConfig(request, std::move(reply));
    case RouteKind::kConfirmDead:
      return ConfirmDead(request, std::move(reply));
    case RouteKind::kGetConfig:
      return reply(ToHttpResponse(RenderConfig(board_.stored_config)));
    case RouteKind::kGetStatus:
      return reply(ToHttpResponse(RenderStatus(board_, ReadClocks())));
    case RouteKind::kGetHealth:
      return reply(ToHttpResponse(RenderHealth(board_)));
    case RouteKind::kGetMetrics: {
      HttpResponse metrics =
          ToHttpResponse(metrics_.Render(board_, ReadClocks()));
      metrics.body += RenderReceptionMetrics(loop_, "dottereltrack_entry_");
      return reply(std::move(metrics));
    }
    case RouteKind::kSetLogLevel:
      return reply(ToHttpResponse(ChangeLogLevel(request.body)));
    case RouteKind::kGetState:
      return reply(ToHttpResponse(RenderState(board_, kMaxStateRows)));
  }
}

void EntryProcess::Submit(const HttpRequest& request, HttpReplier reply) {
  auto job = ParseJob(board_.settings, request.body,
                      GetHeader(request, "idempotency-key"),
                      {WallNow(), random_(), random_()});
  if (!job) {
    reply(ToHttpResponse(RenderRefusal(job.error())));
    return;
  }
  ParsedJob& parsed = job.value();
  const CallId call =
      AddPendingCall(request, std::move(reply), parsed.request.key);
  Post(CallerSubmits{call, std::move(parsed.request), parsed.key_made_here});
}

void EntryProcess::ChangeConfig(const HttpRequest& request, HttpReplier reply) {
  const auto change = ParseConfigChange(request.body);
  if (!change) {
    reply(ToHttpResponse(RenderRefusal(change.error())));
    return;
  }
  Post(OperatorSetsConfig{AddPendingCall(request, std::move(reply), ""),
                          change.value().expected_version,
                          change.value().config});
}

void EntryProcess::ConfirmDead(const HttpRequest& request, HttpReplier reply) {
  const auto agents = ParseConfirmDead(request.body);
  if (!agents) {
    reply(ToHttpResponse(RenderRefusal(agents.error())));
    return;
  }
  Post(OperatorConfirmsDead{AddPendingCall(request, std::move(reply), ""),
                            agents.value()});
}

CallId EntryProcess::AddPendingCall(const HttpRequest& request,
                                    HttpReplier reply,
                                    std::string idempotency_key) {
  const CallId call{next_call_id_++};
  pending_calls_.emplace(call,
                         PendingCall{std::move(reply), request.connection,
                                     std::move(idempotency_key), BootNow()});
  calls_by_connection_[request.connection].insert(call);
  return call;
}

void EntryProcess::AnswerCall(CallId call, const ApiReply& reply) {
  const auto it = pending_calls_.find(call);
  if (it == pending_calls_.end()) return;
  const PendingCall pending_call = std::move(it->second);
  pending_calls_.erase(it);
  auto& connection_calls = calls_by_connection_[pending_call.connection];
  connection_calls.erase(call);
  if (connection_calls.empty()) {
    calls_by_connection_.erase(pending_call.connection);
  }
  metrics_.Observe(LatencyKind::kCall, BootNow() - pending_call.opened_at);
  pending_call.reply(ToHttpResponse(reply));
}

void EntryProcess::AnswerCall(CallId call, const Reply& reply) {
  const auto it = pending_calls_.find(call);
  if (it == pending_calls_.end()) return;
  AnswerCall(call, RenderReply(reply, it->second.idempotency_key));
}

void EntryProcess::OnClientDisconnected(std::uint64_t connection) {
  const auto it = calls_by_connection_.find(connection);
  if (it == calls_by_connection_.end()) return;
  for (const CallId call : it->second) {
    pending_calls_.erase(call);
    Post(CallerDisconnected{call});
  }
  calls_by_connection_.erase(it);
}

}  // namespace dottereltrack
