#pragma once

#include <type_traits>
#include <utility>
#include <vector>

namespace dottereltrack {

// Result of a controller: changes of its board, and effects for the I/O code to
// carry out.
template <typename RowChange, typename Effect>
struct ChangeSet {
  std::vector<RowChange> rows;
  std::vector<Effect> effects;

  template <typename Change>
  void Add(Change change) {
    if constexpr (std::is_constructible_v<RowChange, Change>) {
      rows.emplace_back(std::move(change));
    } else {
      effects.emplace_back(std::move(change));
    }
  }
  void Append(ChangeSet other) {
    for (auto& row : other.rows) rows.push_back(std::move(row));
    for (auto& effect : other.effects) effects.push_back(std::move(effect));
  }
};

}  // namespace dottereltrack
