#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "core/cell.h"
#include "core/time.h"
#include "platform/store.h"

namespace dottereltrack {

// The store refuses larger values.
inline constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

struct StoreClientSettings {
  // IP address and port of the store.
  Endpoint address;
  // Name of the cell; part of the keys. Letters, digits, '-' and '_'.
  std::string cell;
  // Longest duration of a read or a write.
  milliseconds timeout{1'000};
  // Time after which a watch without a change ends.
  milliseconds watch_wait{30'000};
  // A watch that fails calls back no sooner than this after its start, so that
  // a caller that watches again at once does not load a failing store.
  milliseconds failed_watch_delay{500};
  // Calls in flight, two of them watches. Further calls fail at once.
  std::size_t max_calls = 16;
  friend bool operator==(const StoreClientSettings&,
                         const StoreClientSettings&) = default;
};

// The store behind its HTTP interface. `report` gets a sentence for each failed
// call; it may be empty. When the last copy of the functions is gone, the calls
// in flight end without calling back.
Store MakeHttpStore(asio::io_context& loop, const StoreClientSettings& settings,
                    std::function<void(std::string_view)> report);

}  // namespace dottereltrack
