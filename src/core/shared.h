#pragma once

#include <memory>
#include <string>
#include <utility>

namespace dottereltrack {

// An immutable value that is cheap to copy because all copies share one object.
// Comparison is by content, not by address.
template <typename T>
class Shared {
 public:
  Shared() : value_(Empty()) {}
  // Implicit on purpose, so that a T can be passed where a Shared<T> is
  // expected.
  Shared(T value)  // NOLINT(google-explicit-constructor)
      : value_(std::make_shared<const T>(std::move(value))) {}

  const T& operator*() const { return *value_; }
  const T* operator->() const { return value_.get(); }

  friend bool operator==(const Shared& a, const Shared& b) {
    return a.value_ == b.value_ || *a.value_ == *b.value_;
  }

 private:
  static const std::shared_ptr<const T>& Empty() {
    static const auto empty = std::make_shared<const T>();
    return empty;
  }

  std::shared_ptr<const T> value_;
};

// Opaque bytes of a task's payload or result.
using Bytes = Shared<std::string>;

}  // namespace dottereltrack
