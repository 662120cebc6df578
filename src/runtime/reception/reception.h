#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace dottereltrack {

// Limits of all bytes that the connections of one process have received without
// a complete request or frame, and of the connections themselves. Memory is an
// upper estimate in bytes; see EstimateMemory().
struct ReceptionLimits {
  // Memory of all unfinished requests and frames of the process.
  std::size_t max_bytes = 0;
  // Memory of the unfinished request of one connection.
  std::size_t max_connection_bytes = 0;
  // Memory of the unfinished requests of one source address.
  std::size_t max_source_bytes = 0;
  // Unsent bytes of all connections.
  std::size_t max_unsent_bytes = 0;
  // Connections, without links to known processes.
  std::size_t max_connections = 0;
  // Bytes of a header and a body that the HTTP server keeps at most. Chunk
  // extensions beyond them are read and not kept.
  std::size_t max_kept_bytes = 0;
  friend bool operator==(const ReceptionLimits&,
                         const ReceptionLimits&) = default;
};

// Bytes of one unfinished request, as counted while they are read.
struct ReceivedBytes {
  std::size_t bytes = 0;
  std::size_t carriage_returns = 0;
  std::size_t line_feeds = 0;
  friend bool operator==(const ReceivedBytes&, const ReceivedBytes&) = default;
};

// One connection of any listener.
struct ReceptionRow {
  std::uint64_t id = 0;
  // The peer's address without its port.
  std::string source;
  // A link that this process has dialed, or whose peer has sent a valid frame.
  bool is_known_peer = false;
  // Received since the last complete request or frame.
  std::size_t received_bytes = 0;
  // Memory of these bytes.
  std::size_t memory_bytes = 0;
  // Time of the first of these bytes; meaningless if there are none.
  BootTime unfinished_since{0};
  // Time of the accept or of the last complete request.
  BootTime idle_since{0};
  // Complete requests whose responses have not been sent.
  std::size_t open_requests = 0;
  std::size_t unsent_bytes = 0;
  // False until the first complete request.
  bool has_sent_request = false;
  friend bool operator==(const ReceptionRow&, const ReceptionRow&) = default;
};

enum class CloseReason {
  kConnectionShare,
  kSourceShare,
  kBudget,
  kTooSlow,
  kUnreadResponses,
  kTooManyConnections,
};

inline constexpr CloseReason kCloseReasons[] = {
    CloseReason::kConnectionShare, CloseReason::kSourceShare,
    CloseReason::kBudget,          CloseReason::kTooSlow,
    CloseReason::kUnreadResponses, CloseReason::kTooManyConnections,
};

// Value of `reason` in the log and in the metrics.
const char* ToString(CloseReason reason);

struct ConnectionToClose {
  std::uint64_t id = 0;
  CloseReason reason = CloseReason::kBudget;
  friend bool operator==(const ConnectionToClose&,
                         const ConnectionToClose&) = default;
};

// Returns how many connections the descriptors allow beside the links to other
// processes, the calls of the store and of the minion, and open files.
std::size_t ConnectionsWithinDescriptors(std::size_t descriptors);

// Derives the limits from the machine's memory, the number of connections that
// its descriptors allow, and the largest body that the process accepts.
ReceptionLimits DeriveReceptionLimits(std::uint32_t memory_mb,
                                      std::size_t max_connections,
                                      std::size_t max_body_bytes);

// Returns the most memory that the HTTP server can need for these bytes: the
// body, its record of each chunk, and the header fields, each in a container
// that doubles its capacity. The server keeps at most `max_kept_bytes` of
// headers and bodies.
std::size_t EstimateMemory(const ReceivedBytes& received,
                           std::size_t max_kept_bytes);

// Returns the connections to close so that the limits hold again, in the order
// of closing. A connection that is idle or awaits a response is closed only if
// it exceeds a share itself, does not read its responses, or has been idle for
// longer than a client may be. A link to a known process is closed only if its
// peer does not read.
std::vector<ConnectionToClose> FindConnectionsToClose(
    const std::vector<ReceptionRow>& rows, const ReceptionLimits& limits,
    BootTime now);

}  // namespace dottereltrack
