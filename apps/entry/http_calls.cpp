// The HTTP side of an entry: requests to events, and replies to calls.

#include <utility>

#include "apps/entry/entry_process.h"
#include "apps/entry/http_form.h"

namespace dottereltrack {
namespace {

// Rows per table in /debug/state; the dump then stays below some MB.
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

void EntryProcess::OnHttp(const HttpRequest& request, HttpReplier reply) {
  const auto found = FindRoute(request.method, request.path);
  if (const auto* error = std::get_if<ApiReply>(&found)) {
    reply(ToHttp(*error));
    return;
  }
  const Route& route = std::get<Route>(found);
  if (RequiresOperatorToken(route.kind) &&
      !IsAuthorized(HeaderOf(request, "authorization"),
                    settings_.operator_token)) {
    reply(ToHttp(RenderUnauthorized()));
    return;
  }
  Serve(route, request, std::move(reply));
}

void EntryProcess::Serve(const Route& route, const HttpRequest& request,
                         HttpReplier reply) {
  switch (route.kind) {
    case RouteKind::kSubmitJob:
      return Submit(request, std::move(reply));
    case RouteKind::kFetchJob:
      return Post(CallerFetches{OpenCall(request, std::move(reply), ""),
                                route.submission});
    case RouteKind::kCancelJob:
      return Post(CallerCancels{OpenCall(request, std::move(reply), ""),
                                route.submission});
    case RouteKind::kPutConfig:
      return ChangeConfig(request, std::move(reply));
    case RouteKind::kConfirmDead:
      return ConfirmDead(request, std::move(reply));
    case RouteKind::kGetConfig:
      return reply(ToHttp(RenderConfig(board_.stored_config)));
    case RouteKind::kGetStatus:
      return reply(ToHttp(RenderStatus(board_, TakeNow())));
    case RouteKind::kGetHealth:
      return reply(ToHttp(RenderHealth(board_)));
    case RouteKind::kGetMetrics:
      return reply(ToHttp(metrics_.Render(board_, TakeNow())));
    case RouteKind::kSetLogLevel:
      return reply(ToHttp(ChangeLogLevel(request.body)));
    case RouteKind::kGetState:
      return reply(ToHttp(RenderState(board_, kMaxStateRows)));
  }
}

void EntryProcess::Submit(const HttpRequest& request, HttpReplier reply) {
  auto job = ParseJob(board_.settings, request.body,
                      HeaderOf(request, "idempotency-key"),
                      {WallNow(), random_(), random_()});
  if (!job) {
    reply(ToHttp(RenderRefusal(job.error())));
    return;
  }
  ParsedJob& parsed = job.value();
  const CallId call = OpenCall(request, std::move(reply), parsed.request.key);
  Post(CallerSubmits{call, std::move(parsed.request), parsed.key_made_here});
}

void EntryProcess::ChangeConfig(const HttpRequest& request, HttpReplier reply) {
  const auto change = ParseConfigChange(request.body);
  if (!change) {
    reply(ToHttp(RenderRefusal(change.error())));
    return;
  }
  Post(OperatorSetsConfig{OpenCall(request, std::move(reply), ""),
                          change.value().expected_version,
                          change.value().config});
}

void EntryProcess::ConfirmDead(const HttpRequest& request, HttpReplier reply) {
  const auto agents = ParseConfirmDead(request.body);
  if (!agents) {
    reply(ToHttp(RenderRefusal(agents.error())));
    return;
  }
  Post(OperatorConfirmsDead{OpenCall(request, std::move(reply), ""),
                            agents.value()});
}

CallId EntryProcess::OpenCall(const HttpRequest& request, HttpReplier reply,
                              std::string key) {
  const CallId call{next_call_++};
  calls_.emplace(call, PendingCall{std::move(reply), request.connection,
                                   std::move(key), BootNow()});
  calls_by_connection_[request.connection].insert(call);
  return call;
}

void EntryProcess::EndCall(CallId call, const ApiReply& reply) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  const PendingCall pending = std::move(it->second);
  calls_.erase(it);
  auto& siblings = calls_by_connection_[pending.connection];
  siblings.erase(call);
  if (siblings.empty()) calls_by_connection_.erase(pending.connection);
  metrics_.Observe(LatencyKind::kCall, BootNow() - pending.opened_at);
  pending.reply(ToHttp(reply));
}

void EntryProcess::EndCall(CallId call, const Reply& reply) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  EndCall(call, RenderReply(reply, it->second.key));
}

void EntryProcess::OnDisconnect(std::uint64_t connection) {
  const auto it = calls_by_connection_.find(connection);
  if (it == calls_by_connection_.end()) return;
  for (const CallId call : it->second) {
    calls_.erase(call);
    Post(CallerDisconnected{call});
  }
  calls_by_connection_.erase(it);
}

}  // namespace dottereltrack
