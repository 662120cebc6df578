#pragma once

#include <cstdint>
#include <optional>

#include "core/ids.h"
#include "core/shared.h"
#include "core/time.h"

namespace dottereltrack::pool {

// The configuration that an entry has last announced over a link.
struct ConfigSource {
  LinkId link;
  std::uint64_t version = 0;
  std::uint64_t size_bytes = 0;
  double link_mbps = 0;

  const LinkId& Key() const { return link; }
  friend bool operator==(const ConfigSource&, const ConfigSource&) = default;
};

// The text that an agent keeps for entries without a configuration. The agent
// does not read it.
struct KeptConfig {
  // 0 if none is kept.
  std::uint64_t version = 0;
  Bytes text;
  BootTime kept_at{0};
  // Since when a newer version is known.
  std::optional<BootTime> wanted_since;
  // Entry that has been asked and has not answered.
  std::optional<LinkId> asked;
  BootTime asked_at{0};
  friend bool operator==(const KeptConfig&, const KeptConfig&) = default;
};

}  // namespace dottereltrack::pool
