#include "apps/ctl/run.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "api/job_json.h"
#include "apps/ctl/config_edit.h"
#include "apps/ctl/tables.h"
#include "runtime/clock.h"
#include "runtime/settings/endpoint_text.h"
#include "runtime/settings/file.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

// A change that loses against another operator's is made again on top of it.
constexpr int kMaxConfigTries = 5;
// The largest answer: results of 1,100 tasks, or a dump of the state.
constexpr std::size_t kMaxResponseBytes = 64U << 20;

// What the functions below need to know.
struct Context {
  const CtlCommand& command;
  const std::string& token;
  const CallHttp& call;
};

// A reply of the entry with a JSON body.
// The linter warns of the moves of json, which do not throw.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct JsonReply {
  int status = 0;
  json body;
};

using ReplyOrExit = std::variant<JsonReply, EarlyExit>;

EarlyExit NoAnswer(const HttpResult& result) {
  const bool unsent =
      result.end == HttpEnd::kNotConnected || result.end == HttpEnd::kRefused;
  return {kExitNoAnswer,
          "no answer from the entry: " + result.message +
              (unsent ? " (nothing was sent)\n"
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
  if (result.end != HttpEnd::kAnswered) return NoAnswer(result);
  JsonReply reply{result.status, json::parse(result.body, nullptr, false)};
  if (reply.body.is_discarded()) {
    return EarlyExit{kExitNoAnswer,
                     "the reply is not JSON; check that --entry names the HTTP "
                     "address of an entry\n"};
  }
  return reply;
}

EarlyExit Refused(const Context& ctx, const JsonReply& reply) {
  if (ctx.command.json || !reply.body.contains("error")) {
    return {kExitRefused, reply.body.dump() + "\n"};
  }
  return {kExitRefused, ErrorText(reply.body["error"])};
}

EarlyExit Show(const Context& ctx, const json& body,
               std::string (*to_text)(const json&)) {
  return {kExitOk, ctx.command.json ? body.dump() + "\n" : to_text(body)};
}

std::string Indented(const json& body) { return body.dump(2) + "\n"; }

EarlyExit Get(const Context& ctx, const std::string& path,
              std::string (*to_text)(const json&)) {
  const ReplyOrExit got = Request(ctx, "GET", path, "");
  if (const auto* exit = std::get_if<EarlyExit>(&got)) return *exit;
  const auto& reply = std::get<JsonReply>(got);
  if (reply.status != 200) return Refused(ctx, reply);
  return Show(ctx, reply.body, to_text);
}

std::variant<json, EarlyExit> ReadJsonFile(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return EarlyExit{kExitBadInput,
                     file + ": cannot be read; check the path\n"};
  }
  json body = json::parse(*text, nullptr, false, /*ignore_comments=*/true);
  if (!body.is_object()) {
    return EarlyExit{kExitBadInput,
                     file + ": is not one JSON object; correct it\n"};
  }
  return body;
}

EarlyExit SetConfig(const Context& ctx) {
  const auto file = ReadJsonFile(ctx.command.file);
  if (const auto* exit = std::get_if<EarlyExit>(&file)) return *exit;
  const json body =
      ChangeBody(std::get<json>(file), ctx.command.expected_version);
  const ReplyOrExit got = Request(ctx, "PUT", "/v1/config", body.dump());
  if (const auto* exit = std::get_if<EarlyExit>(&got)) return *exit;
  const auto& reply = std::get<JsonReply>(got);
  if (reply.status != 200) return Refused(ctx, reply);
  return Show(ctx, reply.body, ConfigText);
}

json Edit(const CtlCommand& command, json config) {
  switch (command.action) {
    case CtlAction::kLabel:
      return WithLabel(std::move(config), command.minion, command.label,
                       command.value);
    case CtlAction::kDrain:
      return WithDrained(std::move(config), command.minion);
    default:
      return WithoutDrained(std::move(config), command.minion);
  }
}

bool IsVersionConflict(const JsonReply& reply) {
  return reply.status == 409 && reply.body.contains("error") &&
         reply.body["error"].value("code", "") == "version_conflict";
}

EarlyExit EditConfig(const Context& ctx) {
  JsonReply last;
  for (int n = 0; n < kMaxConfigTries; ++n) {
    ReplyOrExit got = Request(ctx, "GET", "/v1/config", "");
    if (const auto* exit = std::get_if<EarlyExit>(&got)) return *exit;
    last = std::get<JsonReply>(got);
    if (last.status != 200) return Refused(ctx, last);
    const auto version = last.body.value("version", std::uint64_t{0});
    const json body = ChangeBody(Edit(ctx.command, last.body), version);
    got = Request(ctx, "PUT", "/v1/config", body.dump());
    if (const auto* exit = std::get_if<EarlyExit>(&got)) return *exit;
    last = std::get<JsonReply>(got);
    if (last.status == 200) return Show(ctx, last.body, ConfigText);
    if (!IsVersionConflict(last)) break;
  }
  return Refused(ctx, last);
}

EarlyExit ConfirmDead(const Context& ctx) {
  const json body = {{"agents", ctx.command.agents}};
  const ReplyOrExit got = Request(ctx, "POST", "/v1/confirm-dead", body.dump());
  if (const auto* exit = std::get_if<EarlyExit>(&got)) return *exit;
  const auto& reply = std::get<JsonReply>(got);
  if (reply.status != 200) return Refused(ctx, reply);
  return Show(ctx, reply.body, Indented);
}

EarlyExit Submit(const Context& ctx) {
  const auto file = ReadJsonFile(ctx.command.file);
  if (const auto* exit = std::get_if<EarlyExit>(&file)) return *exit;
  const json& job = std::get<json>(file);
  // A key of our own lets the user submit again after a lost answer.
  const std::string key =
      job.contains("key") && job["key"].is_string()
          ? job["key"].get<std::string>()
          : MakeTimedKey({WallNow(), RandomId(), RandomId()});
  const std::string header = job.contains("key") ? "" : key;
  const ReplyOrExit got = Request(ctx, "POST", "/v1/jobs", job.dump(), header);
  if (const auto* exit = std::get_if<EarlyExit>(&got)) {
    return {exit->code, exit->output + "submit again with \"key\": \"" + key +
                            "\" in the file\n"};
  }
  const auto& reply = std::get<JsonReply>(got);
  if (reply.status != 200 && reply.status != 202) return Refused(ctx, reply);
  EarlyExit exit = Show(ctx, reply.body, AnswerText);
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
      return Get(ctx, "/v1/status", StatusText);
    case CtlAction::kGetConfig:
      return Get(ctx, "/v1/config", ConfigText);
    case CtlAction::kState:
      return Get(ctx, "/debug/state", Indented);
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
