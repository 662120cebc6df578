#include "runtime/reception/reception_table.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace dottereltrack {
namespace {

// Slow requests are looked for at this interval while any request is
// unfinished.
constexpr milliseconds kCheckInterval{500};

// Time until the next search when a limit is exceeded and no connection may be
// closed, so that reads do not search the table again and again.
constexpr milliseconds kFruitlessSearchDelay{50};

// Optional spaces of a header, which its least size does not include. More
// bytes than these are counted for the next request.
constexpr std::size_t kMaxUncertainBytes = 256;

}  // namespace

asio::execution_context::id ReceptionTable::id;

ReceptionCounter::ReceptionCounter(ReceptionTable* table, ReceptionRow row)
    : table_(table), row_(std::move(row)) {}

ReceptionCounter::~ReceptionCounter() { Remove(); }

void ReceptionCounter::Open(std::function<void(const ReceptionRow&)> close) {
  if (table_ == nullptr) return;
  close_ = std::move(close);
  table_->counters_.emplace(row_.id, this);
  table_->Count(row_);
  table_->CheckLimits(*this);
}

void ReceptionCounter::Remove() {
  close_ = nullptr;
  if (table_ == nullptr) return;
  if (table_->counters_.erase(row_.id) > 0) table_->Uncount(row_);
  table_ = nullptr;
}

void ReceptionCounter::AddReceived(std::string_view bytes) {
  if (table_ == nullptr) return;
  if (received_.bytes == 0) row_.unfinished_since = BootNow();
  received_.bytes += bytes.size();
  received_.carriage_returns +=
      static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\r'));
  received_.line_feeds +=
      static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
  UpdateMemory(received_.bytes,
               EstimateMemory(received_, table_->max_kept_bytes()));
}

void ReceptionCounter::CompleteRequest(std::size_t min_bytes) {
  if (table_ == nullptr) return;
  const std::size_t rest =
      received_.bytes - std::min(received_.bytes, min_bytes);
  received_ = {};
  if (rest > kMaxUncertainBytes) {
    // The densest content that these bytes may have.
    received_ = {rest, rest, rest};
    row_.unfinished_since = BootNow();
  } else {
    row_.idle_since = BootNow();
  }
  row_.has_sent_request = true;
  ++row_.open_requests;
  UpdateMemory(received_.bytes,
               received_.bytes == 0
                   ? 0
                   : EstimateMemory(received_, table_->max_kept_bytes()));
}

void ReceptionCounter::AddUnsent(std::size_t bytes) {
  if (table_ == nullptr) return;
  row_.unsent_bytes += bytes;
  table_->unsent_bytes_ += bytes;
  table_->CheckLimits(*this);
}

void ReceptionCounter::CompleteResponse(std::size_t bytes) {
  if (table_ == nullptr) return;
  row_.unsent_bytes -= bytes;
  table_->unsent_bytes_ -= bytes;
  --row_.open_requests;
  row_.idle_since = BootNow();
}

void ReceptionCounter::SetLinkBytes(std::size_t unfinished_bytes,
                                    std::size_t unsent_bytes) {
  if (table_ == nullptr) return;
  if (row_.received_bytes == 0 && unfinished_bytes > 0) {
    row_.unfinished_since = BootNow();
  }
  table_->unsent_bytes_ += unsent_bytes - row_.unsent_bytes;
  row_.unsent_bytes = unsent_bytes;
  UpdateMemory(unfinished_bytes,
               EstimateMemory({unfinished_bytes, 0, 0}, unfinished_bytes));
}

void ReceptionCounter::SetKnownPeer() {
  if (table_ == nullptr || row_.is_known_peer) return;
  table_->Uncount(row_);
  row_.is_known_peer = true;
  table_->Count(row_);
}

void ReceptionCounter::UpdateMemory(std::size_t received_bytes,
                                    std::size_t memory_bytes) {
  const std::size_t before = row_.memory_bytes;
  row_.received_bytes = received_bytes;
  row_.memory_bytes = memory_bytes;
  table_->memory_bytes_ += memory_bytes - before;
  if (!row_.is_known_peer) {
    table_->memory_by_source_[row_.source] += memory_bytes - before;
  }
  if (memory_bytes > before || row_.unsent_bytes > 0) {
    table_->CheckLimits(*this);
  }
}

ReceptionTable::ReceptionTable(asio::io_context& loop)
    : asio::execution_context::service(loop), loop_(loop) {}

ReceptionTable& ReceptionTable::Of(asio::io_context& loop) {
  return asio::use_service<ReceptionTable>(loop);
}

void ReceptionTable::shutdown() {
  offered_.reset();
  on_close_ = nullptr;
  for (const auto& it : counters_) {
    it.second->close_ = nullptr;
    it.second->table_ = nullptr;
  }
  counters_.clear();
}

void ReceptionTable::SetLimits(
    const ReceptionLimits& limits,
    std::function<void(const ClosedConnection&)> on_close) {
  limits_ = limits;
  on_close_ = std::move(on_close);
}

std::shared_ptr<ReceptionCounter> ReceptionTable::Add(std::string source,
                                                      bool is_known_peer) {
  ReceptionRow row;
  row.id = next_id_++;
  row.source = std::move(source);
  row.is_known_peer = is_known_peer;
  row.idle_since = BootNow();
  return std::make_shared<ReceptionCounter>(this, std::move(row));
}

void ReceptionTable::OfferCounter(std::shared_ptr<ReceptionCounter> counter) {
  offered_ = std::move(counter);
}

std::shared_ptr<ReceptionCounter> ReceptionTable::TakeOfferedCounter() {
  return std::exchange(offered_, nullptr);
}

std::uint64_t ReceptionTable::CountClosed(CloseReason reason) const {
  const auto it = closed_by_reason_.find(static_cast<int>(reason));
  return it == closed_by_reason_.end() ? 0 : it->second;
}

void ReceptionTable::Count(const ReceptionRow& row) {
  memory_bytes_ += row.memory_bytes;
  unsent_bytes_ += row.unsent_bytes;
  if (row.is_known_peer) return;
  ++stranger_count_;
  memory_by_source_[row.source] += row.memory_bytes;
}

void ReceptionTable::Uncount(const ReceptionRow& row) {
  memory_bytes_ -= row.memory_bytes;
  unsent_bytes_ -= row.unsent_bytes;
  if (row.is_known_peer) return;
  --stranger_count_;
  // Without bytes of any connection, the source has no element.
  const auto it = memory_by_source_.find(row.source);
  if (it == memory_by_source_.end()) return;
  it->second -= row.memory_bytes;
  if (it->second == 0) memory_by_source_.erase(it);
}

std::size_t ReceptionTable::max_kept_bytes() const {
  return limits_ ? limits_->max_kept_bytes
                 : std::numeric_limits<std::size_t>::max();
}

bool ReceptionTable::ExceedsLimits(const ReceptionRow& changed) const {
  if (memory_bytes_ > limits_->max_bytes ||
      unsent_bytes_ > limits_->max_unsent_bytes ||
      stranger_count_ > limits_->max_connections) {
    return true;
  }
  if (changed.is_known_peer) return false;
  const auto it = memory_by_source_.find(changed.source);
  return it != memory_by_source_.end() &&
         it->second > limits_->max_source_bytes;
}

void ReceptionTable::CheckLimits(const ReceptionCounter& changed) {
  if (!limits_) return;
  if (changed.row_.received_bytes > 0) ScheduleCheck();
  const bool exceeds_own_share =
      changed.row_.memory_bytes > limits_->max_connection_bytes &&
      !changed.row_.is_known_peer;
  if (!exceeds_own_share) {
    if (!ExceedsLimits(changed.row_)) return;
    if (BootNow() < next_search_at_) return;
  }
  if (CloseOffenders() == 0) {
    next_search_at_ = BootNow() + kFruitlessSearchDelay;
  }
}

std::size_t ReceptionTable::CloseOffenders() {
  std::vector<ReceptionRow> rows;
  rows.reserve(counters_.size());
  for (const auto& it : counters_) rows.push_back(it.second->row_);
  const auto to_close = FindConnectionsToClose(rows, *limits_, BootNow());
  for (const ConnectionToClose& it : to_close) {
    Close(counters_.at(it.id), it.reason);
  }
  return to_close.size();
}

void ReceptionTable::Close(ReceptionCounter* counter, CloseReason reason) {
  ++closed_by_reason_[static_cast<int>(reason)];
  counter->is_closing_ = true;
  const ReceptionRow row = counter->row_;
  const auto close = std::exchange(counter->close_, nullptr);
  counter->Remove();
  if (close) close(row);
  if (on_close_) on_close_({reason, row});
}

void ReceptionTable::ScheduleCheck() {
  if (is_check_scheduled_) return;
  is_check_scheduled_ = true;
  // Owned by its handler, since a service may not hold a timer when its event
  // loop is destroyed.
  auto timer = std::make_shared<asio::steady_timer>(loop_, kCheckInterval);
  timer->async_wait([this, timer](const asio::error_code& ec) {
    is_check_scheduled_ = false;
    if (ec || !limits_) return;
    CloseOffenders();
    if (memory_bytes_ > 0) ScheduleCheck();
  });
}

}  // namespace dottereltrack
