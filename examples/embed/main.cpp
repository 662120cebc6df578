#include <dottereltrack/core.h>

#include <iostream>
#include <vector>

namespace {

using dottereltrack::Advance;
using dottereltrack::EntryBoard;
using dottereltrack::EntryEffect;
using dottereltrack::EntryEvent;
using dottereltrack::Now;
using dottereltrack::seconds;

// A minimal front end without sockets: passes one event to the decision library
// and prints the effects that it requests.
void AdvanceAndPrint(EntryBoard* board, const Now& now,
                     const EntryEvent& event) {
  const std::vector<EntryEffect> effects =
      Advance(board, std::vector<EntryEvent>{event}, now);
  for (const EntryEffect& effect : effects) {
    if (std::holds_alternative<dottereltrack::ReadTable>(effect)) {
      std::cout << "read the cell table\n";
    } else if (std::holds_alternative<dottereltrack::WriteTable>(effect)) {
      std::cout << "write the cell table\n";
    } else if (std::holds_alternative<dottereltrack::ReplyToCaller>(effect)) {
      std::cout << "reply to a caller\n";
    }
  }
}

}  // namespace

int main() {
  EntryBoard board;
  board.settings.id = dottereltrack::EntryId{1};
  Now now{seconds{1}, dottereltrack::WallTime{1'800'000'000'000}, 7};

  AdvanceAndPrint(&board, now, dottereltrack::Tick{});
  // The store holds no table yet, so this entry creates the cell.
  AdvanceAndPrint(&board, now, dottereltrack::TableObserved{});

  dottereltrack::SubmitRequest request;
  request.team = "north";
  request.key = "an-order";
  // A job without tasks is refused, with a proof that none of its tasks ran.
  AdvanceAndPrint(
      &board, now,
      dottereltrack::CallerSubmits{dottereltrack::CallId{1}, request, false});
  return 0;
}
