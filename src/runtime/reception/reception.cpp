#include "runtime/reception/reception.h"

#include <algorithm>
#include <map>
#include <set>

namespace dottereltrack {
namespace {

// Assumed where the settings do not state the machine's memory. Users' smallest
// machines have 120 MB.
constexpr std::uint32_t kDefaultMemoryMb = 120;

// Shares of the machine's memory. The rest holds the program, its jobs and what
// the allocator cannot return.
constexpr std::size_t kReceptionShare = 4;
constexpr std::size_t kUnsentShare = 8;
constexpr std::size_t kConnectionsShare = 8;

// The read buffer of 4 KiB, the parser, the timers and the state of one idle
// connection.
constexpr std::size_t kBytesPerConnection = 8U << 10;
constexpr std::size_t kMinConnections = 16;

// File descriptors reserved for links to agents and other entries, the store,
// metrics and the process itself. Users' pools have up to 300 workers.
constexpr std::size_t kReservedDescriptors = 600;
constexpr std::size_t kMinConnectionsWithinDescriptors = 100;

// 64 KiB in chunks of one byte, with a header of 16 KiB and extensions of any
// length, are estimated at 4.8 MB.
constexpr std::size_t kMinConnectionBytes = 5U << 20;
// Estimate for one body byte sent in large chunks or with a content length. A
// body of twice the limit is still read, to be refused with status 413.
constexpr std::size_t kContainerGrowth = 2;
constexpr std::size_t kMaxReadBodies = 2;
// The HTTP parser ends a connection whose header exceeds this size.
constexpr std::size_t kMaxReadHeaderBytes = 80U << 10;

// RESTinio's record of a chunk has 16 bytes, and its vector up to twice as many
// plus the previous ones while it grows.
constexpr std::size_t kBytesPerChunk = 22;
// "1\r\nx\r\n" is the shortest chunk, and each has a carriage return.
constexpr std::size_t kMinChunkBytes = 6;
// A header field has two strings and an id, in a vector. A field ends with a
// line feed, and the server accepts this many fields.
constexpr std::size_t kBytesPerField = 160;
constexpr std::size_t kMaxFields = 4'096;

// An unfinished request is too slow when it has taken longer than this time
// plus that of its bytes at the minimum rate. Clients may need 3,000 ms for a
// header.
constexpr milliseconds kSlowGrace{5'000};
constexpr std::size_t kMinBytesPerSecond = 4U << 10;
// Clients may be idle for this time, and send their header within the other.
constexpr milliseconds kMaxIdle{15'000};
constexpr milliseconds kMaxHeaderTime{3'000};

// A client that awaits a response may have sent this much of its next request.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10;

// Closing continues to this share of an exceeded limit, so that the rows are
// not searched again for each further byte.
std::size_t LowWater(std::size_t limit) { return limit - limit / 4; }

bool AwaitsResponse(const ReceptionRow& row) {
  return row.open_requests > 0 || row.unsent_bytes > 0;
}

bool MayBeClosedForMemory(const ReceptionRow& row) {
  if (row.is_known_peer || row.memory_bytes == 0) return false;
  return !AwaitsResponse(row) || row.memory_bytes > kMaxPipelinedBytes;
}

bool IsTooSlow(const ReceptionRow& row, BootTime now) {
  if (row.is_known_peer || row.received_bytes == 0 || AwaitsResponse(row)) {
    return false;
  }
  const milliseconds earned{1'000 * row.received_bytes / kMinBytesPerSecond};
  return now - row.unfinished_since > kSlowGrace + earned;
}

// A large request that has been unfinished for long is closed first: a client
// within the limits sends its bytes at once.
double MemoryTimesAge(const ReceptionRow& row, BootTime now) {
  const auto age = now - row.unfinished_since + milliseconds{1};
  return static_cast<double>(row.memory_bytes) *
         static_cast<double>(age.count());
}

// The rows and what has been decided about them.
struct Search {
  const std::vector<ReceptionRow>& rows;
  const ReceptionLimits& limits;
  BootTime now;
  std::vector<ConnectionToClose> to_close{};
  std::set<std::uint64_t> closed_ids{};

  bool IsOpen(const ReceptionRow& row) const {
    return !closed_ids.contains(row.id);
  }

  void Close(const ReceptionRow& row, CloseReason reason) {
    closed_ids.insert(row.id);
    to_close.push_back({row.id, reason});
  }
};

struct SourceRows {
  std::size_t total = 0;
  // In ascending order of what is closed first, so that the last is next.
  std::vector<const ReceptionRow*> candidates{};
};

using SourceTable = std::map<std::string, SourceRows>;

void CloseLast(Search* search, SourceRows* source, CloseReason reason) {
  const ReceptionRow& row = *source->candidates.back();
  source->candidates.pop_back();
  source->total -= row.memory_bytes;
  search->Close(row, reason);
}

SourceTable GroupByMemory(const Search& search) {
  SourceTable table;
  for (const ReceptionRow& row : search.rows) {
    if (row.is_known_peer || !search.IsOpen(row)) continue;
    SourceRows& source = table[row.source];
    source.total += row.memory_bytes;
    if (MayBeClosedForMemory(row)) source.candidates.push_back(&row);
  }
  for (auto& [name, source] : table) {
    std::sort(source.candidates.begin(), source.candidates.end(),
              [&](const auto* left, const auto* right) {
                return MemoryTimesAge(*left, search.now) <
                       MemoryTimesAge(*right, search.now);
              });
  }
  return table;
}

void CloseSingleOffenders(Search* search) {
  for (const ReceptionRow& row : search->rows) {
    if (row.is_known_peer) continue;
    if (row.memory_bytes > search->limits.max_connection_bytes) {
      search->Close(row, CloseReason::kConnectionShare);
    } else if (IsTooSlow(row, search->now)) {
      search->Close(row, CloseReason::kTooSlow);
    }
  }
}

void ApplySourceShares(Search* search, SourceTable* table) {
  const std::size_t limit = search->limits.max_source_bytes;
  for (auto& [name, source] : *table) {
    if (source.total <= limit) continue;
    while (source.total > LowWater(limit) && !source.candidates.empty()) {
      CloseLast(search, &source, CloseReason::kSourceShare);
    }
  }
}

void ApplyBudget(Search* search, SourceTable* table) {
  std::size_t total = 0;
  for (const ReceptionRow& row : search->rows) {
    if (search->IsOpen(row)) total += row.memory_bytes;
  }
  const std::size_t limit = search->limits.max_bytes;
  if (total <= limit) return;
  while (total > LowWater(limit)) {
    SourceRows* largest = nullptr;
    for (auto& [name, source] : *table) {
      if (source.candidates.empty()) continue;
      if (largest == nullptr || source.total > largest->total) {
        largest = &source;
      }
    }
    if (largest == nullptr) return;
    total -= largest->candidates.back()->memory_bytes;
    CloseLast(search, largest, CloseReason::kBudget);
  }
}

void ApplyUnsentLimit(Search* search) {
  std::size_t total = 0;
  std::vector<const ReceptionRow*> candidates;
  for (const ReceptionRow& row : search->rows) {
    if (!search->IsOpen(row) || row.unsent_bytes == 0) continue;
    total += row.unsent_bytes;
    candidates.push_back(&row);
  }
  const std::size_t limit = search->limits.max_unsent_bytes;
  if (total <= limit) return;
  // Strangers first, then the largest.
  std::sort(candidates.begin(), candidates.end(),
            [](const auto* left, const auto* right) {
              return std::pair(!left->is_known_peer, left->unsent_bytes) >
                     std::pair(!right->is_known_peer, right->unsent_bytes);
            });
  for (const ReceptionRow* row : candidates) {
    if (total <= LowWater(limit)) return;
    total -= row->unsent_bytes;
    search->Close(*row, CloseReason::kUnreadResponses);
  }
}

// Order in which connections are closed when there are too many. Null: never.
enum class Expendability { kIdleTooLong, kUnfinished, kUnused, kNewest };

std::optional<Expendability> ExpendabilityOf(const ReceptionRow& row,
                                             BootTime now) {
  if (row.is_known_peer || AwaitsResponse(row)) return std::nullopt;
  if (row.received_bytes > 0) return Expendability::kUnfinished;
  const BootTime idle = now - row.idle_since;
  if (idle > kMaxIdle) return Expendability::kIdleTooLong;
  if (row.has_sent_request) return std::nullopt;
  return idle > kMaxHeaderTime ? Expendability::kUnused
                               : Expendability::kNewest;
}

struct ExpendableRow {
  Expendability kind = Expendability::kNewest;
  std::size_t source_connections = 0;
  const ReceptionRow* row = nullptr;
};

// True if `left` is closed before `right`. Sources with the most connections
// come first, then the oldest connections; of new ones, the newest.
bool IsMoreExpendable(const ExpendableRow& left, const ExpendableRow& right) {
  if (left.kind != right.kind) return left.kind < right.kind;
  if (left.source_connections != right.source_connections) {
    return left.source_connections > right.source_connections;
  }
  if (left.kind == Expendability::kNewest) return left.row->id > right.row->id;
  return left.row->id < right.row->id;
}

void ApplyConnectionLimit(Search* search) {
  std::map<std::string, std::size_t> connections;
  std::size_t total = 0;
  for (const ReceptionRow& row : search->rows) {
    if (row.is_known_peer || !search->IsOpen(row)) continue;
    ++connections[row.source];
    ++total;
  }
  if (total <= search->limits.max_connections) return;
  std::vector<ExpendableRow> expendable;
  for (const ReceptionRow& row : search->rows) {
    if (!search->IsOpen(row)) continue;
    const auto kind = ExpendabilityOf(row, search->now);
    if (kind) expendable.push_back({*kind, connections[row.source], &row});
  }
  std::sort(expendable.begin(), expendable.end(), &IsMoreExpendable);
  for (const ExpendableRow& it : expendable) {
    if (total <= search->limits.max_connections) return;
    --total;
    search->Close(*it.row, CloseReason::kTooManyConnections);
  }
}

}  // namespace

const char* ToString(CloseReason reason) {
  switch (reason) {
    case CloseReason::kConnectionShare:
      return "the unfinished request exceeds the share of a connection";
    case CloseReason::kSourceShare:
      return "the unfinished requests exceed the share of a source address";
    case CloseReason::kBudget:
      return "the unfinished requests exceed the memory for reception";
    case CloseReason::kTooSlow:
      return "the unfinished request arrives too slowly";
    case CloseReason::kUnreadResponses:
      return "the peer does not read what is sent";
    case CloseReason::kTooManyConnections:
      return "too many connections";
  }
  return "";
}

std::size_t ConnectionsWithinDescriptors(std::size_t descriptors) {
  return std::max(
      std::max(descriptors, kReservedDescriptors) - kReservedDescriptors,
      kMinConnectionsWithinDescriptors);
}

ReceptionLimits DeriveReceptionLimits(std::uint32_t memory_mb,
                                      std::size_t max_connections,
                                      std::size_t max_body_bytes) {
  const std::size_t memory =
      std::size_t{memory_mb == 0 ? kDefaultMemoryMb : memory_mb} << 20;
  ReceptionLimits limits;
  limits.max_bytes = memory / kReceptionShare;
  limits.max_source_bytes = limits.max_bytes / 2;
  limits.max_kept_bytes = kMaxReadBodies * max_body_bytes + kMaxReadHeaderBytes;
  limits.max_connection_bytes = std::min(
      limits.max_source_bytes,
      std::max(kMinConnectionBytes, kContainerGrowth * limits.max_kept_bytes));
  limits.max_unsent_bytes = memory / kUnsentShare;
  const std::size_t within_memory =
      memory / kConnectionsShare / kBytesPerConnection;
  limits.max_connections =
      std::min(max_connections, std::max(kMinConnections, within_memory));
  return limits;
}

std::size_t EstimateMemory(const ReceivedBytes& received,
                           std::size_t max_kept_bytes) {
  const std::size_t chunks =
      std::min(received.carriage_returns, received.bytes / kMinChunkBytes);
  return kContainerGrowth * std::min(received.bytes, max_kept_bytes) +
         kBytesPerChunk * chunks +
         kBytesPerField * std::min(received.line_feeds, kMaxFields);
}

std::vector<ConnectionToClose> FindConnectionsToClose(
    const std::vector<ReceptionRow>& rows, const ReceptionLimits& limits,
    BootTime now) {
  Search search{rows, limits, now};
  CloseSingleOffenders(&search);
  SourceTable table = GroupByMemory(search);
  ApplySourceShares(&search, &table);
  ApplyBudget(&search, &table);
  ApplyUnsentLimit(&search);
  ApplyConnectionLimit(&search);
  return std::move(search.to_close);
}

}  // namespace dottereltrack
