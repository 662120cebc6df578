#include "apps/entry/frames.h"

#include "dottereltrack/wire.h"
#include "runtime/log/log.h"

namespace dottereltrack {
namespace {

template <typename Message>
std::optional<std::string> EncodeWithinLimit(const Message& message) {
  std::string frame = Encode(message);
  if (frame.size() <= kMaxFrameBytes) return frame;
  Log(LogPart::kLinks, LogLevel::kError,
      "message not sent: " + std::to_string(frame.size()) +
          " bytes exceed the frame limit; submit jobs with fewer tasks or "
          "smaller results");
  return std::nullopt;
}

Refusal AnswerTooLargeRefusal() {
  return {RefusalKind::kUndecided,
          "the answer is larger than a frame between entries; fetch the job by "
          "its id at the dispatcher, and let later jobs have smaller results",
          std::nullopt, std::nullopt};
}

}  // namespace

std::optional<std::string> EncodeFrame(const EntryToAgent& message) {
  return EncodeWithinLimit(message);
}

std::optional<std::string> EncodeFrame(const EntryToEntry& message) {
  auto frame = EncodeWithinLimit(message);
  const auto* reply = std::get_if<ForwardReply>(&message);
  if (frame || reply == nullptr) return frame;
  return Encode(
      EntryToEntry{ForwardReply{reply->request_id, AnswerTooLargeRefusal()}});
}

}  // namespace dottereltrack
