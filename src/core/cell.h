#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids.h"

namespace dottereltrack {

// An IP address and a TCP port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// An entry process that belongs to the cell.
struct Member {
  EntryId id;
  Endpoint peer_address;
  std::string data_centre;
  friend auto operator<=>(const Member&, const Member&) = default;
};

// One run of an agent process that may receive starts.
struct RosterAgent {
  AgentId id;
  std::string minion;
  std::string data_centre;
  std::string rack;
  friend auto operator<=>(const RosterAgent&, const RosterAgent&) = default;
};

// An agent that was removed from the roster before its records were copied to
// other agents.
struct LostAgent {
  AgentId id;
  std::string rack;
  // Unix time in milliseconds after which its records would have expired.
  std::int64_t expires_wall_ms = 0;
  friend auto operator<=>(const LostAgent&, const LostAgent&) = default;
};

// Membership of a cell: its dispatcher, its entries and its agents. The store
// holds it as one value, which is replaced only by compare-and-swap.
struct CellTable {
  std::uint64_t generation = 0;
  EntryId dispatcher;
  std::vector<Member> members;
  std::vector<RosterAgent> roster;
  std::vector<LostAgent> lost;
  // Unix time in milliseconds since which the roster has spanned two racks;
  // zero while it does not. Opaque keys have two witnesses only since then.
  std::int64_t two_racks_since_ms = 0;
  // Lets the writer recognise its own value if the answer to the write was
  // lost.
  std::uint64_t writer_nonce = 0;
  friend bool operator==(const CellTable&, const CellTable&) = default;
};

// A cell table with the store's revision. A higher revision is newer.
struct StoredTable {
  std::uint64_t revision = 0;
  CellTable table;
  friend bool operator==(const StoredTable&, const StoredTable&) = default;
};

// Operators' settings for one team.
struct TeamConfig {
  // Number of slots that the team may occupy at once; 0 means no limit.
  std::uint32_t max_in_progress = 0;
  // Share of the slots relative to other teams with waiting tasks; at least 1.
  std::uint32_t weight = 1;
  friend auto operator<=>(const TeamConfig&, const TeamConfig&) = default;
};

// The operators' configuration. An empty teams map admits every team with the
// default settings; otherwise unknown teams are refused.
struct CellConfig {
  std::uint64_t version = 0;
  std::map<std::string, TeamConfig> teams;
  // Labels by minion name that override or extend the announced ones.
  std::map<std::string, std::map<std::string, std::string>> label_overrides;
  std::vector<std::string> drained_minions;
  std::uint64_t writer_nonce = 0;
  friend bool operator==(const CellConfig&, const CellConfig&) = default;
};

// A configuration with the store's revision. A writer must state the revision
// that it replaces.
struct StoredConfig {
  std::uint64_t revision = 0;
  CellConfig config;
  friend bool operator==(const StoredConfig&, const StoredConfig&) = default;
};

}  // namespace dottereltrack
