#include "support/message_tally.h"

namespace dottereltrack::testing {
namespace {

MessageTally Add(MessageTally tally, bool useful) {
  ++(useful ? tally.useful : tally.wasted);
  return tally;
}

}  // namespace

MessageTally Tally(MessageTally tally, const EntryToAgent& message) {
  return Add(tally, std::holds_alternative<Starts>(message));
}

MessageTally Tally(MessageTally tally, const AgentToEntry& message) {
  const auto* results = std::get_if<Results>(&message);
  tally = Add(tally, results != nullptr && !results->results.empty());
  // A refusal means that the message with the start was wasted, too.
  if (results != nullptr && !results->refused.empty()) ++tally.wasted;
  return tally;
}

MessageTally Tally(MessageTally tally, const EntryToEntry& message) {
  return Add(tally, std::holds_alternative<ForwardSubmit>(message) ||
                        std::holds_alternative<ForwardFetch>(message) ||
                        std::holds_alternative<ForwardCancel>(message) ||
                        std::holds_alternative<ForwardReply>(message));
}

}  // namespace dottereltrack::testing
