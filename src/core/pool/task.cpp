#include "core/pool/task.h"

#include "core/ids.h"

namespace dottereltrack::pool {

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStalled:
      return "stalled";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLost:
      return "lost";
  }
  return "unknown";
}

const char* ToString(StartRefusal refusal) {
  switch (refusal) {
    case StartRefusal::kNoRoom:
      return "no_room";
    case StartRefusal::kNotAccepting:
      return "not_accepting";
    case StartRefusal::kOldNumber:
      return "old_number";
    case StartRefusal::kRejected:
      return "rejected";
  }
  return "unknown";
}

std::string JobIdToText(std::uint64_t job) { return ToHex(job); }

std::string ToText(const TaskKey& task) {
  return JobIdToText(task.job) + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

}  // namespace dottereltrack::pool
