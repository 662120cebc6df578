#pragma once

#include <cstddef>
#include <map>
#include <utility>

namespace dottereltrack {

// A table of immutable rows, ordered by key so that dumps and decisions do not
// depend on hashing. Only `Apply` modifies a table; controllers read it.
template <typename Row>
class Table {
 public:
  using Key = std::decay_t<decltype(std::declval<const Row&>().Key())>;

  // Returns the row with this key, or nullptr. Valid until the table is
  // modified.
  const Row* Find(const Key& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
  }
  bool Contains(const Key& key) const { return rows_.count(key) != 0; }
  std::size_t size() const { return rows_.size(); }
  bool empty() const { return rows_.empty(); }
  auto begin() const { return rows_.begin(); }
  auto end() const { return rows_.end(); }
  // First row whose key is not less than the given one.
  auto LowerBound(const Key& key) const { return rows_.lower_bound(key); }
  // First row whose key is greater than the given one.
  auto UpperBound(const Key& key) const { return rows_.upper_bound(key); }

  void Put(Row row) {
    const Key key = row.Key();
    rows_.insert_or_assign(key, std::move(row));
  }
  void Erase(const Key& key) { rows_.erase(key); }

  friend bool operator==(const Table&, const Table&) = default;

 private:
  std::map<Key, Row> rows_;
};

// A change that inserts a row or replaces the row with the same key.
template <typename Row>
struct Put {
  Row row;
  friend bool operator==(const Put&, const Put&) = default;
};

// A change that removes the row with this key, if there is one.
template <typename Row>
struct Erase {
  typename Table<Row>::Key key;
  friend bool operator==(const Erase&, const Erase&) = default;
};

}  // namespace dottereltrack
