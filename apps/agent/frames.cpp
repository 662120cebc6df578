#include "apps/agent/frames.h"

#include <iterator>

#include "dottereltrack/wire.h"

namespace dottereltrack {
namespace {

// Removes the second half of the list of results and returns it in a message of
// its own. Refused starts remain in the first message.
Results SplitSecondHalf(Results* results) {
  Results second_half;
  second_half.ack = results->ack;
  auto& list = results->results;
  const auto middle =
      list.begin() + static_cast<std::ptrdiff_t>(list.size() / 2);
  second_half.results.assign(std::make_move_iterator(middle),
                             std::make_move_iterator(list.end()));
  list.erase(middle, list.end());
  return second_half;
}

void AppendFrames(const AgentToEntry& message, FrameList* list) {
  std::string frame = Encode(message);
  if (frame.size() <= kMaxFrameBytes) {
    list->frames.push_back(std::move(frame));
    return;
  }
  const auto* results = std::get_if<Results>(&message);
  if (results == nullptr || results->results.size() < 2) {
    list->all_fit = false;
    return;
  }
  Results first_half = *results;
  const Results second_half = SplitSecondHalf(&first_half);
  AppendFrames(first_half, list);
  AppendFrames(second_half, list);
}

}  // namespace

FrameList EncodeFrames(const AgentToEntry& message) {
  FrameList list;
  AppendFrames(message, &list);
  return list;
}

}  // namespace dottereltrack
