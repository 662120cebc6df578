#pragma once

#include <type_traits>
#include <utility>
#include <vector>

namespace dottereltrack {

// Result of a controller: changes of its board, and effects for the I/O code to
// carry out. The effects can be taken only by applying the changes: an answer
// that leaves without its changes contradicts the board.
template <typename BoardChange, typename Effect>
class ChangeSet {
 public:
  template <typename Change>
  void Add(Change change) {
    if constexpr (std::is_constructible_v<BoardChange, Change>) {
      board_changes_.emplace_back(std::move(change));
    } else {
      effects_.emplace_back(std::move(change));
    }
  }
  void Append(ChangeSet other) {
    for (auto& it : other.board_changes_) {
      board_changes_.push_back(std::move(it));
    }
    for (auto& it : other.effects_) effects_.push_back(std::move(it));
  }

  bool HasEffects() const { return !effects_.empty(); }
  const std::vector<BoardChange>& board_changes() const {
    return board_changes_;
  }
  // Passes each change of the board to `apply_change`, in order, and returns
  // the effects.
  template <typename ApplyChange>
  [[nodiscard]] std::vector<Effect> ApplyTo(ApplyChange apply_change) && {
    for (const BoardChange& change : board_changes_) apply_change(change);
    return std::move(effects_);
  }

 private:
  std::vector<BoardChange> board_changes_;
  std::vector<Effect> effects_;
};

}  // namespace dottereltrack
