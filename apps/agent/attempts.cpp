#include "apps/agent/attempts.h"

#include <algorithm>
#include <string>
#include <utility>

#include "runtime/settings/endpoint_text.h"

namespace dottereltrack {
namespace {

// Longer error responses of a minion are truncated to this size.
constexpr std::size_t kMaxErrorBytes = 4'096;

constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;

AttemptEnd ClassifyResult(const HttpResult& result) {
  switch (result.end) {
    case HttpEnd::kAnswered:
      return result.status >= kFirstSuccess && result.status <= kLastSuccess
                 ? AttemptEnd::kDone
                 : AttemptEnd::kFailed;
    case HttpEnd::kNotConnected:
    case HttpEnd::kRefused:
      return AttemptEnd::kNotStarted;
    case HttpEnd::kTimedOut:
    case HttpEnd::kTransportError:
    case HttpEnd::kTooLarge:
      break;
  }
  return AttemptEnd::kUnknown;
}

std::string MakeOutput(AttemptEnd end, HttpResult result) {
  switch (end) {
    case AttemptEnd::kDone:
      return std::move(result.body);
    case AttemptEnd::kFailed:
      return "the minion answered with status " +
             std::to_string(result.status) + ": " +
             result.body.substr(0, kMaxErrorBytes);
    case AttemptEnd::kNotStarted:
    case AttemptEnd::kUnknown:
      break;
  }
  if (result.end == HttpEnd::kTooLarge) {
    return "the result exceeds " + std::to_string(kMaxResultBytes) +
           " bytes; let the minion store it and return its place";
  }
  return std::string("the request to the minion ended as ") +
         ToString(result.end) + ": " + result.message;
}

}  // namespace

HttpCall MakeAttemptCall(const TaskStart& start, const MinionTarget& target) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + ToText(target.address) + target.path;
  call.headers = {{"Content-Type", "application/octet-stream"},
                  {"X-Dottereltrack-Submission", ToHex(start.id.submission)},
                  {"X-Dottereltrack-Task", std::to_string(start.id.index)}};
  call.body = *start.payload;
  // libcurl interprets a timeout of zero as no timeout.
  call.timeout = std::max(start.timeout, milliseconds{1});
  call.max_response_bytes = kMaxResultBytes;
  call.use_fresh_connection = true;
  return call;
}

AttemptEnded MakeAttemptEnded(const TaskId& task, HttpResult result,
                              microseconds run_time) {
  const AttemptEnd end = ClassifyResult(result);
  return {task, end, MakeOutput(end, std::move(result)), run_time};
}

}  // namespace dottereltrack
