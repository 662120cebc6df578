// Implements the fake store of TestCell.

#include <algorithm>
#include <utility>

#include "support/test_cell.h"

namespace dottereltrack::testing {
namespace {

// Time after which a call to an unreachable store fails.
constexpr BootTime kStoreTimeout{100'000};

}  // namespace

void TestCell::SetStoreMode(StoreMode mode) {
  store_mode_ = mode;
  // A watch that could not reach the store receives the current values once it
  // can again.
  if (mode != StoreMode::kDown) NotifyWatches();
}

BootTime TestCell::StoreDelay() const {
  return store_mode_ == StoreMode::kSlow ? 50 * options_.store_delay
                                         : options_.store_delay;
}

void TestCell::ReadStore(int entry, bool is_table_read) {
  ++store_calls_;
  const std::uint64_t incarnation = entries_[entry].incarnation;
  if (IsStoreDown(entry)) {
    clock_.ScheduleAt(now() + kStoreTimeout, [this, entry, incarnation] {
      if (entries_[entry].incarnation != incarnation) return;
      PostToEntry(entry, StoreReadFailed{});
    });
    return;
  }
  clock_.ScheduleAt(now() + StoreDelay(),
                    [this, entry, is_table_read, incarnation] {
                      if (entries_[entry].incarnation != incarnation) return;
                      if (is_table_read) {
                        PostToEntry(entry, TableObserved{table_});
                      } else {
                        PostToEntry(entry, ConfigObserved{config_});
                      }
                    });
}

void TestCell::WriteStore(int entry, const WriteTable& write) {
  ++store_calls_;
  const std::uint64_t incarnation = entries_[entry].incarnation;
  const auto answer = [this, entry, incarnation](BootTime after,
                                                 TableWritten event) {
    clock_.ScheduleAt(now() + after, [this, entry, incarnation, event] {
      if (entries_[entry].incarnation == incarnation) PostToEntry(entry, event);
    });
  };
  if (IsStoreDown(entry)) {
    return answer(kStoreTimeout, {WriteStatus::kNotApplied, 0});
  }
  const bool lost = store_mode_ == StoreMode::kLosesReplies;
  const bool late = store_mode_ == StoreMode::kWritesLate;
  const BootTime half = StoreDelay() / 2;
  if (late) answer(kStoreTimeout, {WriteStatus::kUndecided, 0});
  clock_.ScheduleAt(
      now() + (late ? 5 * kStoreTimeout : half),
      [this, write, answer, lost, late, half] {
        const bool applies = table_.revision == write.expected_revision;
        if (applies) {
          table_ = {table_.revision + 1, write.table};
          NotifyWatches();
        }
        if (late) return;
        if (lost) return answer(kStoreTimeout, {WriteStatus::kUndecided, 0});
        const auto status =
            applies ? WriteStatus::kApplied : WriteStatus::kConflict;
        answer(half, {status, table_.revision});
      });
}

void TestCell::WriteStore(int entry, const WriteConfig& write) {
  ++store_calls_;
  const std::uint64_t incarnation = entries_[entry].incarnation;
  const auto answer = [this, entry, incarnation](BootTime after,
                                                 ConfigWritten event) {
    clock_.ScheduleAt(now() + after, [this, entry, incarnation, event] {
      if (entries_[entry].incarnation == incarnation) PostToEntry(entry, event);
    });
  };
  if (IsStoreDown(entry)) {
    return answer(kStoreTimeout, {write.call, WriteStatus::kNotApplied, 0});
  }
  const bool lost = store_mode_ == StoreMode::kLosesReplies;
  const bool late = store_mode_ == StoreMode::kWritesLate;
  const BootTime half = StoreDelay() / 2;
  if (late) answer(kStoreTimeout, {write.call, WriteStatus::kUndecided, 0});
  clock_.ScheduleAt(now() + (late ? 5 * kStoreTimeout : half), [this, write,
                                                                answer, lost,
                                                                late, half] {
    const bool applies = config_.revision == write.expected_revision;
    if (applies) {
      config_ = {config_.revision + 1, write.config};
      NotifyWatches();
    }
    if (late) return;
    if (lost) {
      return answer(kStoreTimeout, {write.call, WriteStatus::kUndecided, 0});
    }
    const auto status =
        applies ? WriteStatus::kApplied : WriteStatus::kConflict;
    answer(half, {write.call, status, config_.revision});
  });
}

void TestCell::NotifyWatches() {
  for (int n = 0; n < entry_count(); ++n) NotifyWatch(n);
}

void TestCell::NotifyWatch(int entry) {
  const std::uint64_t incarnation = entries_[entry].incarnation;
  clock_.ScheduleAt(now() + StoreDelay(), [this, entry, incarnation] {
    const bool reached =
        entries_[entry].incarnation == incarnation && !IsStoreDown(entry);
    if (!reached) return;
    PostToEntry(entry, TableObserved{table_});
    PostToEntry(entry, ConfigObserved{config_});
  });
}

}  // namespace dottereltrack::testing
