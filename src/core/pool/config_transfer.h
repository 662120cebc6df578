#pragma once

#include <cstdint>
#include <optional>

#include "core/ids.h"
#include "core/time.h"

namespace dottereltrack::pool {

// Parameters of the exchange of configurations between processes.
struct ConfigTransferSettings {
  // Rate of this machine's network link; 0 if it is not known.
  double link_mbps = 0;
  // A text of at most this size crosses the slowest link (19 Mbit/s) in 7 ms
  // and is read in 0.2 ms, so that it is requested at once and sent without
  // regard to other transfers.
  std::uint64_t max_small_bytes = 16U << 10;
  // A larger text is requested from another process this long after it was
  // announced, plus the time in which the store's answer crosses the link. The
  // store's watch brings a change within some 10 ms; the smallest machine (0.09
  // core) needs 50 ms to decode and to read it.
  milliseconds store_delay{100};
  // An answer is late this long after the request, plus twice the time of its
  // transfer. A process that is waiting for its share of a processor answers
  // within a period of 100 ms.
  milliseconds answer_delay{150};
  // A process that has not answered, or not with a usable text, is asked again
  // after this time if no other one can be asked.
  milliseconds retry_delay{500};
  // For this long after a failure, others are preferred.
  milliseconds failure_memory{5'000};
  // A text that was received is read in 20 ms by the slowest machine; one that
  // has not been read after this time was replaced by another one.
  milliseconds max_read_time{500};
  // Links of at least this rate are preferred, and only entries with such a
  // link provide agents.
  double fast_link_mbps = 100;
  // An entry with a fast link tells agents of a new version at most this often.
  milliseconds agent_announcement_interval{5'000};
  // An agent requests a version 1 to 2 times the first delay after it was
  // announced, and 1 to 2 times the second one after its last copy, so that
  // texts of 220 kB that change all the time are at most 7 kB a second on its
  // link.
  milliseconds keep_delay{5'000};
  milliseconds renew_interval{30'000};
  // A larger text is not kept. The store takes up to 262,144 bytes.
  std::uint64_t max_kept_bytes = 1U << 20;
  friend bool operator==(const ConfigTransferSettings&,
                         const ConfigTransferSettings&) = default;
};

// What an entry knows of the process at the other end of a link, as far as
// configurations are concerned.
struct ConfigPeer {
  LinkId link;
  // Version that was last announced over the link; unset before the first one.
  std::optional<std::uint64_t> told_version;
  BootTime told_at{0};
  // What the other end has last announced.
  std::uint64_t version = 0;
  std::uint64_t size_bytes = 0;
  double link_mbps = 0;
  // When the last request to it was given up, or its text could not be read.
  std::optional<BootTime> failed_at;
  // When it requested the text that it has not been sent yet.
  std::optional<BootTime> requested_at;

  const LinkId& Key() const { return link; }
  friend bool operator==(const ConfigPeer&, const ConfigPeer&) = default;
};

// What an entry does to get a configuration that another process has announced.
struct ConfigFetch {
  // Since when a newer version than the one in force is known, and the version
  // that was in force then.
  std::optional<BootTime> wanted_since;
  std::uint64_t version_in_force = 0;
  // Process that has been asked and has not answered.
  std::optional<LinkId> asked;
  BootTime asked_at{0};
  // Process whose text is being read, and the version of that text.
  std::optional<LinkId> reading_from;
  std::uint64_t reading_version = 0;
  BootTime reading_since{0};
  friend bool operator==(const ConfigFetch&, const ConfigFetch&) = default;
};

// Time in which a text crosses a link; 0 if the rate is not known.
milliseconds TransferTime(std::uint64_t bytes, double link_mbps);
// How long to wait for the store before the text is requested.
milliseconds RequestDelay(const ConfigTransferSettings& settings,
                          std::uint64_t bytes);
// Time after which a request to a machine with a link of this rate is given up.
milliseconds AnswerTimeout(const ConfigTransferSettings& settings,
                           std::uint64_t bytes, double peer_link_mbps);
// Time during which no further large text is sent after one of this size: twice
// its transfer time, so that half of the link remains for other messages.
milliseconds UploadInterval(const ConfigTransferSettings& settings,
                            std::uint64_t bytes);

}  // namespace dottereltrack::pool
