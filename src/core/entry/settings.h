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
  // Addresses of other entries, dialled while this entry knows no peer. They
  // let an entry that starts while the store is down learn the cell's table.
  std::vector<Endpoint> seeds;

  std::uint32_t max_tasks_per_job = 1'100;
  std::uint32_t max_queued_tasks = 100'000;
  std::uint32_t max_start_retries = 3;
  std::size_t max_payload_bytes = 1 << 20;
  // Estimated memory of the open jobs, and of the calls that wait for the
  // dispatcher, in bytes. A quarter of the default memory of a machine. Open
  // jobs and kept answers together may take twice as much.
  std::size_t max_accepted_bytes = 128U << 20;
  std::size_t max_key_bytes = 128;
  // Maximum number of tasks in one message to an agent.
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
  // A stopping dispatcher that cannot hand over exits after this time, once its
  // own callers have their replies.
  milliseconds stop_timeout{30'000};
  // Longest time that a call waits for a dispatcher.
  milliseconds no_dispatcher_timeout{10'000};
  // A call that has no answer this long after its deadline is ended without
  // one.
  milliseconds answer_grace{5'000};
  // Longest wait for one witness to acknowledge a request; another agent is
  // asked after that.
  milliseconds witness_timeout{1'000};
  // Longest wait until witnesses have recorded that a submission is closed.
  // After it, tasks that were not started are reported as unknown. Must be
  // below `answer_grace`, so that the answer still reaches the caller.
  milliseconds closing_timeout{4'000};
  milliseconds store_retry{200};
  milliseconds max_store_retry{5'000};
  milliseconds member_timeout{10'000};
  // Longest time without a message to an agent whose acknowledgement counts
  // towards the majority that the dispatcher needs.
  milliseconds majority_heartbeat{1'000};
  // Longest time without a message to any other agent.
  milliseconds agent_heartbeat{5'000};
  milliseconds peer_heartbeat{500};

  // Number of agents that store the witness record of an opaque key or of a
  // closed submission.
  std::uint32_t witness_count = 2;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace dottereltrack
