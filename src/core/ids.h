#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dottereltrack {

// Identifies one job under one idempotency key of one team: SHA-256 over team
// and key, truncated to 128 bits. The team is included so that two teams never
// share a submission.
struct SubmissionId {
  std::array<std::uint8_t, 16> bytes{};
  friend auto operator<=>(const SubmissionId&, const SubmissionId&) = default;
};

// Identifies one task by its submission and its position in the job.
struct TaskId {
  SubmissionId submission;
  std::uint32_t index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// Random 64-bit id of one run of an entry process.
struct EntryId {
  std::uint64_t value = 0;
  friend auto operator<=>(const EntryId&, const EntryId&) = default;
};

// Random 64-bit id of one run of an agent process.
struct AgentId {
  std::uint64_t value = 0;
  friend auto operator<=>(const AgentId&, const AgentId&) = default;
};

// Identifies one connection within this process. Ids are never reused.
struct LinkId {
  std::uint64_t value = 0;
  friend auto operator<=>(const LinkId&, const LinkId&) = default;
};

// Identifies one open HTTP call of a caller within this process.
struct CallId {
  std::uint64_t value = 0;
  friend auto operator<=>(const CallId&, const CallId&) = default;
};

// Fencing token of a dispatcher's messages to an agent: the dispatcher's term
// (generation), then the connection between that dispatcher and the agent
// (session). An agent refuses all starts that carry any fence but its newest.
struct Fence {
  std::uint64_t generation = 0;
  std::uint64_t session = 0;
  friend auto operator<=>(const Fence&, const Fence&) = default;
};

// Derives the submission id of a team's idempotency key.
SubmissionId MakeSubmissionId(std::string_view team, std::string_view key);

// Digest of a job's body. Distinguishes a resubmission from the reuse of a key
// for another body.
std::uint64_t ComputeDigest(std::string_view bytes);

// Lower-case hexadecimal: 32 characters for a submission id, 16 for a 64-bit
// id.
std::string ToHex(const SubmissionId& id);
std::string ToHex(std::uint64_t value);

// Parses 16 hexadecimal characters; std::nullopt for any other text.
std::optional<std::uint64_t> ParseHexId(std::string_view text);

// Parses 32 hexadecimal characters; std::nullopt for any other text.
std::optional<SubmissionId> ParseSubmissionId(std::string_view text);

}  // namespace dottereltrack

template <>
struct std::hash<dottereltrack::SubmissionId> {
  std::size_t operator()(const dottereltrack::SubmissionId& id) const noexcept;
};
template <>
struct std::hash<dottereltrack::TaskId> {
  std::size_t operator()(const dottereltrack::TaskId& id) const noexcept;
};
