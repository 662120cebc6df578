#pragma once

#include <type_traits>
#include <utility>
#include <vector>

namespace dottereltrack {

// Result of a controller: changes of its board, and effects for the I/O code to
// carry out.
template <typename BoardChange, typename Effect>
struct ChangeSet {
  std::vector<BoardChange> board_changes;
  std::vector<Effect> effects;

  template <typename Change>
  void Add(Change change) {
    if constexpr (std::is_constructible_v<BoardChange, Change>) {
      board_changes.emplace_back(std::move(change));
    } else {
      effects.emplace_back(std::move(change));
    }
  }
  void Append(ChangeSet other) {
    for (auto& it : other.board_changes) board_changes.push_back(std::move(it));
    for (auto& effect : other.effects) effects.push_back(std::move(effect));
  }
};

}  // namespace dottereltrack
