#include "api/answer_json.h"

#include "api/json_text.h"
#include "json/base64.h"

namespace dottereltrack {
namespace {

using nlohmann::json;

json ToJson(const Done& done) {
  if (IsUtf8(*done.result)) {
    return {{"state", "done"}, {"result", *done.result}};
  }
  return {{"state", "done"}, {"result_base64", ToBase64(*done.result)}};
}

json ToJson(const Failed& failed) {
  return {{"state", "failed"}, {"reason", failed.message}};
}

json ToJson(const NotRun& not_run) {
  return {{"state", "not_run"}, {"reason", not_run.reason}};
}

json ToJson(const Unknown& unknown) {
  return {{"state", "unknown"}, {"reason", unknown.reason}};
}

ApiReply Render(const Answer& answer, const std::string& key) {
  json tasks = json::array();
  for (const TaskOutcome& outcome : answer.outcomes) {
    tasks.push_back(
        std::visit([](const auto& it) { return ToJson(it); }, outcome));
  }
  json body = {{"id", ToHex(answer.id)},
               {"complete", answer.complete},
               {"failure", answer.failure},
               {"tasks", std::move(tasks)}};
  if (!key.empty()) body["key"] = key;
  ApiReply reply;
  reply.body = ToJsonText(body);
  return reply;
}

ApiReply Render(const Refusal& refusal, const std::string& key) {
  (void)key;
  return RenderRefusal(refusal);
}

ApiReply Render(const StillOpen& open, const std::string& key) {
  json body = {{"id", ToHex(open.id)}, {"state", "open"}};
  if (!key.empty()) body["key"] = key;
  ApiReply reply;
  reply.status = 202;
  reply.body = ToJsonText(body);
  return reply;
}

}  // namespace

ApiReply RenderReply(const Reply& reply, const std::string& key) {
  return std::visit([&](const auto& it) { return Render(it, key); }, reply);
}

}  // namespace dottereltrack
