#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/cell.h"
#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack {

// Identity, limits and timings of one entry. Fixed while the process runs.
struct EntrySettings {
  EntryId id;
  Endpoint peer_address;
  std::string data_centre;
  // Addresses of other entries, dialled while this entry knows no peer. An
  // entry that starts while the store is down learns the cell from them.
  std::vector<Endpoint> seeds;

  std::uint32_t max_tasks_per_job = 1'100;
  std::uint32_t max_queued_tasks = 100'000;
  std::uint32_t max_start_retries = 3;
  std::size_t max_payload_bytes = 1 << 20;
  std::size_t max_key_bytes = 128;
  // Tasks that an entry sends to one agent in one message.
  std::uint32_t max_starts_per_message = 256;

  milliseconds default_deadline{60'000};
  milliseconds max_deadline{600'000};
  milliseconds retention{900'000};
  milliseconds clock_skew{500};
  milliseconds no_minion_grace{5'000};

  milliseconds authority_timeout{3'000};
  milliseconds peer_timeout{2'000};
  milliseconds takeover_stagger{200};
  milliseconds agent_timeout{3'000};
  // A stopping dispatcher that cannot hand over ends after this time, once its
  // own callers have their replies.
  milliseconds stop_timeout{30'000};
  // Longest time that a call waits for a dispatcher.
  milliseconds no_dispatcher_timeout{10'000};
  // Time beyond the deadline after which a call ends without an answer.
  milliseconds answer_grace{5'000};
  // Longest wait for the acknowledgement of one witness; then another agent
  // is asked.
  milliseconds witness_timeout{1'000};
  // Longest wait until witnesses have recorded that a submission is closed;
  // then its unstarted tasks are reported as unknown. Below `answer_grace`, so
  // that the answer still reaches the caller.
  milliseconds closing_timeout{4'000};
  milliseconds store_retry{200};
  milliseconds max_store_retry{5'000};
  milliseconds member_timeout{10'000};
  // Longest time without a message to an agent whose acknowledgement the
  // dispatcher needs for its majority.
  milliseconds majority_heartbeat{1'000};
  // The same for all other agents.
  milliseconds agent_heartbeat{5'000};
  milliseconds peer_heartbeat{500};

  // Agents that record an opaque key or a closed submission.
  std::uint32_t witness_count = 2;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace dottereltrack
