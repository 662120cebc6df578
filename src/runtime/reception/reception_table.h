#pragma once

#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "runtime/reception/reception.h"

namespace dottereltrack {

// A connection that was closed because of a limit.
struct ClosedConnection {
  CloseReason reason = CloseReason::kBudget;
  ReceptionRow row;
};

class ReceptionTable;

// Counts the bytes of one connection in the table of its event loop. All member
// functions run on the event loop's thread.
class ReceptionCounter {
 public:
  ReceptionCounter(ReceptionTable* table, ReceptionRow row);
  ~ReceptionCounter();
  ReceptionCounter(const ReceptionCounter&) = delete;
  ReceptionCounter& operator=(const ReceptionCounter&) = delete;

  // Sets the function that closes the connection, and counts the connection.
  // `close` is called at most once, and never after Remove().
  void Open(std::function<void(const ReceptionRow&)> close);
  // Forgets the connection, which has been closed.
  void Remove();
  // True if the connection is to be closed because of a limit. Nothing that is
  // read from it may be used.
  bool is_closing() const { return is_closing_; }
  const std::string& source() const { return row_.source; }

  // Counts bytes of an unfinished request.
  void AddReceived(std::string_view bytes);
  // A request is complete. It has at least `min_bytes` of those counted; the
  // rest may belong to the next one.
  void CompleteRequest(std::size_t min_bytes);
  void AddUnsent(std::size_t bytes);
  // A response of this size was sent, or its connection was closed.
  void CompleteResponse(std::size_t bytes);
  // Sets what a link holds of unfinished frames and of unsent ones.
  void SetLinkBytes(std::size_t unfinished_bytes, std::size_t unsent_bytes);
  // The peer is a process of this system.
  void SetKnownPeer();

 private:
  friend class ReceptionTable;

  void UpdateMemory(std::size_t received_bytes, std::size_t memory_bytes);

  ReceptionTable* table_;
  ReceptionRow row_;
  ReceivedBytes received_;
  std::function<void(const ReceptionRow&)> close_;
  bool is_closing_ = false;
};

// The unfinished requests and frames of all connections of one event loop, and
// thus of one process. Closes connections when a limit is exceeded. An event
// loop has one table, which all its servers use.
class ReceptionTable : public asio::execution_context::service {
 public:
  using key_type = ReceptionTable;
  static asio::execution_context::id id;

  explicit ReceptionTable(asio::io_context& loop);
  // Returns the table of the event loop.
  static ReceptionTable& Of(asio::io_context& loop);

  // Without limits, bytes are counted and no connection is closed.
  // `on_close` is called for each connection that is closed because of a limit;
  // it may be empty.
  void SetLimits(const ReceptionLimits& limits,
                 std::function<void(const ClosedConnection&)> on_close);
  std::shared_ptr<ReceptionCounter> Add(std::string source, bool is_known_peer);

  // Hands the counter of an accepted connection to its socket, which takes it
  // with its first read. The HTTP library gives neither to the other.
  void OfferCounter(std::shared_ptr<ReceptionCounter> counter);
  std::shared_ptr<ReceptionCounter> TakeOfferedCounter();

  // Memory of all unfinished requests and frames, in bytes.
  std::size_t memory_bytes() const { return memory_bytes_; }
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  // Number of connections closed for this reason.
  std::uint64_t CountClosed(CloseReason reason) const;

 private:
  friend class ReceptionCounter;

  void shutdown() override;
  std::size_t max_kept_bytes() const;
  void CheckLimits(const ReceptionCounter& changed);
  bool ExceedsLimits(const ReceptionRow& changed) const;
  // Returns the number of connections that are being closed.
  std::size_t CloseOffenders();
  void Close(ReceptionCounter* counter, CloseReason reason);
  void ScheduleCheck();
  void Count(const ReceptionRow& row);
  void Uncount(const ReceptionRow& row);

  std::optional<ReceptionLimits> limits_;
  std::function<void(const ClosedConnection&)> on_close_;
  std::unordered_map<std::uint64_t, ReceptionCounter*> counters_;
  std::unordered_map<std::string, std::size_t> memory_by_source_;
  std::unordered_map<int, std::uint64_t> closed_by_reason_;
  std::size_t memory_bytes_ = 0;
  std::size_t unsent_bytes_ = 0;
  std::size_t stranger_count_ = 0;
  std::uint64_t next_id_ = 1;
  BootTime next_search_at_{0};
  bool is_check_scheduled_ = false;
  std::shared_ptr<ReceptionCounter> offered_;
  asio::io_context& loop_;
};

}  // namespace dottereltrack
