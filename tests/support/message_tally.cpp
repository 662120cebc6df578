#include "support/message_tally.h"

namespace dottereltrack::testing {
namespace {

MessageTally Increment(MessageTally tally, bool useful) {
  ++(useful ? tally.useful : tally.wasted);
  return tally;
}

}  // namespace

MessageTally CountMessage(MessageTally tally, const EntryToAgent& message) {
  return Increment(tally, std::holds_alternative<Starts>(message));
}

MessageTally CountMessage(MessageTally tally, const AgentToEntry& message) {
  const auto* results = std::get_if<Results>(&message);
  tally = Increment(tally, results != nullptr && !results->results.empty());
  // A refusal means that the message with the start was wasted, too.
  if (results != nullptr && !results->refused.empty()) ++tally.wasted;
  return tally;
}

MessageTally CountMessage(MessageTally tally, const EntryToEntry& message) {
  return Increment(tally, std::holds_alternative<ForwardSubmit>(message) ||
                              std::holds_alternative<ForwardFetch>(message) ||
                              std::holds_alternative<ForwardCancel>(message) ||
                              std::holds_alternative<ForwardReply>(message));
}

}  // namespace dottereltrack::testing
