#include "apps/ctl/run.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "api/job_json.h"
#include "apps/ctl/config_edit.h"
#include "apps/ctl/tables.h"
#include "json/bounded_json.h"
#include "runtime/clock.h"
#include "runtime/settings/endpoint_text.h"
#include "runtime/settings/file.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// An edit that conflicts with a concurrent change is reapplied to the new
// version, up to this number of attempts in total.
constexpr int kMaxEditAttempts = 5;
// Sized for the largest responses: the results of 1,100 tasks, or a state dump.
constexpr std::size_t kMaxResponseBytes = 64U << 20;

// Parameters shared by the functions below.
struct Context {
  const CtlCommand& command;
  const std::string& token;
  const CallHttp& call;
};

// An HTTP response of the entry, parsed as JSON.
// clang-tidy assumes that moving a json value can throw; it cannot.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct JsonReply {
  int status = 0;
  json body;
};

using ReplyOrExit = std::variant<JsonReply, EarlyExit>;

EarlyExit NoAnswerExit(const HttpResult& result) {
  const bool was_not_sent =
      result.end == HttpEnd::kNotConnected || result.end == HttpEnd::kRefused;
  return {kExitNoAnswer,
          "no answer from the entry: " + result.message +
              (was_not_sent ? " (nothing was sent)\n"
                            : " (a change or a job may have taken effect)\n")};
}

ReplyOrExit Request(const Context& ctx, const std::string& method,
                    const std::string& path, const std::string& body,
                    const std::string& key = "") {
  HttpCall call;
  call.method = method;
  call.url = "http://" + ToText(ctx.command.entry) + path;
  call.body = body;
  call.timeout = ctx.command.timeout;
  call.max_response_bytes = kMaxResponseBytes;
  call.use_fresh_connection = true;
  if (!ctx.token.empty()) {
    call.headers.emplace_back("Authorization", "Bearer " + ctx.token);
  }
  if (!key.empty()) call.headers.emplace_back("Idempotency-Key", key);
  const HttpResult result = ctx.call(call);
  if (result.end != HttpEnd::kAnswered) return NoAnswerExit(result);
  auto reply_body = ParseBoundedJson(result.body, JsonComments::kRefused,
                                     {.max_bytes = kMaxResponseBytes});
  if (!reply_body) {
    return EarlyExit{kExitNoAnswer,
                     "the reply is not JSON; check that --entry names the HTTP "
                     "address of an entry\n"};
  }
  return JsonReply{result.status, std::move(reply_body.value())};
}

EarlyExit Refused(const Context& ctx, const JsonReply& reply) {
  if (ctx.command.print_json || !reply.body.contains("error")) {
    return {kExitRefused, reply.body.dump() + "\n"};
  }
  return {kExitRefused, FormatError(reply.body["error"])};
}

EarlyExit SuccessExit(const Context& ctx, const json& body,
                      std::string (*to_text)(const json&)) {
  return {kExitOk, ctx.command.print_json ? body.dump() + "\n" : to_text(body)};
}

std::string FormatJson(const json& body) { return body.dump(2) + "\n"; }

EarlyExit GetAndFormat(const Context& ctx, const std::string& path,
                       std::string (*to_text)(const json&)) {
  const ReplyOrExit reply_or_exit = Request(ctx, "GET", path, "");
  if (const auto* exit = std::get_if<EarlyExit>(&reply_or_exit)) return *exit;
  const auto& reply = std::get<JsonReply>(reply_or_exit);
  if (reply.status != 200) return Refused(ctx, reply);
  return SuccessExit(ctx, reply.body, to_text);
}

std::variant<json, EarlyExit> ReadJsonFile(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return EarlyExit{kExitBadInput,
                     file + ": cannot be read; check the path\n"};
  }
  auto body = ParseBoundedJson(*text, JsonComments::kIgnored);
  if (!body || !body.value().is_object()) {
    return EarlyExit{kExitBadInput,
                     file + ": is not one JSON object; correct it\n"};
  }
  return std::move(body.value());
}

EarlyExit SetConfig(const Context& ctx) {
  const auto file = ReadJsonFile(ctx.command.file);
  if (const auto* exit = std::get_if<EarlyExit>(&file)) return *exit;
  const json body =
      MakeConfigChangeBody(std::get<json>(file), ctx.command.expected_version);
  const ReplyOrExit reply_or_exit =
      Request(ctx, "PUT", "/v1/config", body.dump());
  if (const auto* exit = std::get_if<EarlyExit>(&reply_or_exit)) return *exit;
  const auto& reply = std::get<JsonReply>(reply_or_exit);
  if (reply.status != 200) return Refused(ctx, reply);
  return SuccessExit(ctx, reply.body, FormatConfig);
}

json ApplyEdit(const CtlCommand& command, json config) {
  switch (command.action) {
    case CtlAction::kLabel:
      return WithLabelOverride(std::move(config), command.minion, command.label,
                               command.value);
    case CtlAction::kDrain:
      return WithDrainedMinion(std::move(config), command.minion);
    default:
      return WithoutDrainedMinion(std::move(config), command.minion);
  }
}

bool IsVersionConflict(const JsonReply& reply) {
  return reply.status == 409 && reply.body.contains("error") &&
         reply.body["error"].value("code", "") == "version_conflict";
}

EarlyExit EditConfig(const Context& ctx) {
  JsonReply last;
  for (int n = 0; n < kMaxEditAttempts; ++n) {
    ReplyOrExit reply_or_exit = Request(ctx, "GET", "/v1/config", "");
    if (const auto* exit = std::get_if<EarlyExit>(&reply_or_exit)) return *exit;
    last = std::get<JsonReply>(reply_or_exit);
    if (last.status != 200) return Refused(ctx, last);
    const auto version = last.body.value("version", std::uint64_t{0});
    const json body =
        MakeConfigChangeBody(ApplyEdit(ctx.command, last.body), version);
    reply_or_exit = Request(ctx, "PUT", "/v1/config", body.dump());
    if (const auto* exit = std::get_if<EarlyExit>(&reply_or_exit)) return *exit;
    last = std::get<JsonReply>(reply_or_exit);
    if (last.status == 200) return SuccessExit(ctx, last.body, FormatConfig);
    if (!IsVersionConflict(last)) break;
  }
  return Refused(ctx, last);
}

EarlyExit ConfirmDead(const Context& ctx) {
  const json body = {{"agents", ctx.command.agents}};
  const ReplyOrExit reply_or_exit =
      Request(ctx, "POST", "/v1/confirm-dead", body.dump());
  if (const auto* exit = std::get_if<EarlyExit>(&reply_or_exit)) return *exit;
  const auto& reply = std::get<JsonReply>(reply_or_exit);
  if (reply.status != 200) return Refused(ctx, reply);
  return SuccessExit(ctx, reply.body, FormatJson);
}

EarlyExit Submit(const Context& ctx) {
  const auto file = ReadJsonFile(ctx.command.file);
  if (const auto* exit = std::get_if<EarlyExit>(&file)) return *exit;
  const json& job = std::get<json>(file);
  // Generating the key here, if the file has none, lets the user resubmit the
  // job with the same key if the response is lost.
  const std::string key =
      job.contains("key") && job["key"].is_string()
          ? job["key"].get<std::string>()
          : GenerateUuidV7({WallNow(), RandomId(), RandomId()});
  const std::string header = job.contains("key") ? "" : key;
  const ReplyOrExit reply_or_exit =
      Request(ctx, "POST", "/v1/jobs", job.dump(), header);
  if (const auto* exit = std::get_if<EarlyExit>(&reply_or_exit)) {
    return {exit->code, exit->output + "submit again with \"key\": \"" + key +
                            "\" in the file\n"};
  }
  const auto& reply = std::get<JsonReply>(reply_or_exit);
  if (reply.status != 200 && reply.status != 202) return Refused(ctx, reply);
  EarlyExit exit = SuccessExit(ctx, reply.body, FormatAnswer);
  if (reply.status == 202) {
    exit.code = kExitJobOpen;
  } else if (!reply.body.value("complete", false)) {
    exit.code = kExitJobFailed;
  }
  return exit;
}

}  // namespace

EarlyExit RunCtl(const CtlCommand& command, const std::string& token,
                 const CallHttp& call) {
  const Context ctx{command, token, call};
  switch (command.action) {
    case CtlAction::kStatus:
      return GetAndFormat(ctx, "/v1/status", FormatStatus);
    case CtlAction::kGetConfig:
      return GetAndFormat(ctx, "/v1/config", FormatConfig);
    case CtlAction::kState:
      return GetAndFormat(ctx, "/debug/state", FormatJson);
    case CtlAction::kSetConfig:
      return SetConfig(ctx);
    case CtlAction::kLabel:
    case CtlAction::kDrain:
    case CtlAction::kUndrain:
      return EditConfig(ctx);
    case CtlAction::kConfirmDead:
      return ConfirmDead(ctx);
    case CtlAction::kSubmit:
      return Submit(ctx);
  }
  return {kExitBadUsage, CtlUsage()};
}

}  // namespace dottereltrack
