#include "apps/agent/frames.h"

#include <iterator>

#include "dottereltrack/wire.h"

namespace dottereltrack {
namespace {

// Removes the second half of the list of results and returns it in a message of
// its own. Refused starts remain in the first message.
Results SplitOff(Results* results) {
  Results half;
  half.ack = results->ack;
  auto& list = results->results;
  const auto middle =
      list.begin() + static_cast<std::ptrdiff_t>(list.size() / 2);
  half.results.assign(std::make_move_iterator(middle),
                      std::make_move_iterator(list.end()));
  list.erase(middle, list.end());
  return half;
}

void AddFrames(const AgentToEntry& message, FrameList* list) {
  std::string frame = Encode(message);
  if (frame.size() <= kMaxFrameBytes) {
    list->frames.push_back(std::move(frame));
    return;
  }
  const auto* results = std::get_if<Results>(&message);
  if (results == nullptr || results->results.size() < 2) {
    list->fits = false;
    return;
  }
  Results first = *results;
  const Results second = SplitOff(&first);
  AddFrames(first, list);
  AddFrames(second, list);
}

}  // namespace

FrameList FramesOf(const AgentToEntry& message) {
  FrameList list;
  AddFrames(message, &list);
  return list;
}

}  // namespace dottereltrack
