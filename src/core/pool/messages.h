#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/cell.h"
#include "core/pool/evacuation.h"
#include "core/pool/minion_crash.h"
#include "core/pool/task.h"

namespace dottereltrack::pool {

// Messages between the processes of a pool. Every message also
// counts as a heartbeat of its sender.

// First message of an entry on each link; sent again to other entries when it
// learns of a crash.
struct EntryHello {
  // Random id of the entry process.
  std::uint64_t entry = 0;
  std::vector<Endpoint> known_entries;
  // Recent crashes of minions; sent to entries only.
  std::vector<CrashReport> crashes{};
  // Shortest interval between two load reports that the entry wants from an
  // agent; 0 leaves it to the agent's settings.
  milliseconds report_interval{0};
  // Asks the receiving entry to announce the jobs that it accepts over this
  // link.
  bool wants_accepted_jobs = false;
  friend bool operator==(const EntryHello&, const EntryHello&) = default;
};

// Asks an agent to start a run. The agent answers with StartRefused or, later,
// with RunEnded.
struct StartRun {
  // Sequence number of the start on its link, from 1.
  std::uint64_t sequence = 0;
  RunKey run;
  Bytes payload;
  Resources needs;
  milliseconds estimate{0};
  // A minion has crashed with an earlier run of the task. An agent accepts one
  // such run at a time.
  bool is_suspect = false;
  // The minion must have this label; checked by the agent, since another
  // instance may have taken the minion's place. Empty if any will do.
  std::string required_label{};
  friend bool operator==(const StartRun&, const StartRun&) = default;
};

// Asks an agent to stop a run; answered with RunEnded.
struct StopRun {
  RunKey run;
  // The request has passed through several processes, so the agent renews no
  // lease until the minion has accepted the stop, sooner than usually.
  bool withholds_lease = false;
  friend bool operator==(const StopRun&, const StopRun&) = default;
};

struct Ping {
  friend bool operator==(const Ping&, const Ping&) = default;
};

// The newest configuration that the sender knows, as the operator wrote it.
struct ConfigOffer {
  std::uint64_t version = 0;
  Bytes text;
  friend bool operator==(const ConfigOffer&, const ConfigOffer&) = default;
};

// Entries that the sender knows.
struct KnownEntries {
  std::vector<Endpoint> entries;
  friend bool operator==(const KnownEntries&, const KnownEntries&) = default;
};

// First message of an agent on each link; sent again when its minion changes or
// has crashed.
struct AgentHello {
  // Random id of the agent process.
  std::uint64_t agent = 0;
  // Id of the minion's instance; empty while none is known.
  std::string minion;
  std::string service;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  // Recent crashes of the minion's instances.
  std::vector<CrashReport> crashes{};
  // The minion's labels; its kind and its rack among them.
  std::vector<std::string> labels{};
  friend bool operator==(const AgentHello&, const AgentHello&) = default;
};

// The load of the agent's minion, taking into account the starts of this link
// up to sequence number `handled_starts`.
struct LoadReport {
  std::uint64_t handled_starts = 0;
  Resources free;
  bool accepting = false;
  // Whether all runs that the entry started over earlier links have ended.
  bool settled = false;
  // Mean logarithm of the ratio of run duration to estimate on the minion.
  double log_slowness = 0;
  // Whether the minion has a run of a suspect task.
  bool has_suspect = false;
  // Whether the minion has lately not executed some of the starts that were
  // sent to it, or executes them seconds late.
  bool misses_starts = false;
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

struct StartRefused {
  RunKey run;
  StartRefusal refusal = StartRefusal::kNoRoom;
  friend bool operator==(const StartRefused&, const StartRefused&) = default;
};

struct RunEnded {
  RunKey run;
  RunEnd end = RunEnd::kLost;
  milliseconds duration{0};
  friend bool operator==(const RunEnded&, const RunEnded&) = default;
};

// All evacuations that the sender knows, also those that have ended.
struct EvacuationList {
  std::vector<Evacuation> evacuations;
  friend bool operator==(const EvacuationList&,
                         const EvacuationList&) = default;
};

// Version and size of the newest configuration that the sender can provide;
// version 0 if it has none.
struct ConfigAnnouncement {
  std::uint64_t version = 0;
  std::uint64_t size_bytes = 0;
  // Rate of the sender's network link; 0 if it is not known.
  std::uint32_t link_mbps = 0;
  friend bool operator==(const ConfigAnnouncement&,
                         const ConfigAnnouncement&) = default;
};

// Asks for the announced configuration; answered with ConfigOffer.
struct ConfigRequest {
  std::uint64_t version = 0;
  friend bool operator==(const ConfigRequest&, const ConfigRequest&) = default;
};

// Work of one service that waits at an entry.
struct ServiceBacklog {
  std::string service;
  // Thousandths of a core times milliseconds, divided by a thousand.
  std::int64_t waiting_core_ms = 0;
  // Expected time until a task that is submitted now starts.
  milliseconds expected_delay{0};
  friend bool operator==(const ServiceBacklog&,
                         const ServiceBacklog&) = default;
};

// Load of the sending entry.
struct EntryLoad {
  // Share of time, in thousandths, in which its event loop is busy.
  std::uint32_t busy_permille = 0;
  // Number of further jobs that the sender takes from the receiver, not
  // counting the first `handled_jobs` that it received over this link.
  std::uint32_t offered_jobs = 0;
  std::vector<ServiceBacklog> backlogs{};
  std::uint64_t handled_jobs = 0;
  // The sender asks for offers.
  bool is_overloaded = false;
  std::string data_centre{};
  friend bool operator==(const EntryLoad&, const EntryLoad&) = default;
};

// Hands a job over to another entry, which owns it from then on. Answered with
// ForwardedJobEnded.
struct ForwardJob {
  JobSpec job;
  // The client's request id, for logs.
  std::string request_id;
  std::string host;
  std::string path;
  // Version of the configuration in force at the sender.
  std::uint64_t config_version = 0;
  // Time since the sender received the job.
  milliseconds age{0};
  // How long the client still waits for the reply.
  milliseconds client_timeout{0};
  friend bool operator==(const ForwardJob&, const ForwardJob&) = default;
};

// How a forwarded job has ended.
enum class ForwardedOutcome {
  kCompleted,
  kFailed,
  // The job was not accepted; none of its tasks has started or will start.
  kRefused,
  // The job may have begun and was given up.
  kGivenUp,
  // Another caller has cancelled the job.
  kCancelled,
  // The two below answer FollowJob only. The sender does not have the job and
  // knows no outcome of it.
  kUnknown,
  // The sender has the job, or is about to run it; another message follows when
  // it ends.
  kAtWork,
};

struct ForwardedJobEnded {
  std::uint64_t job = 0;
  ForwardedOutcome outcome = ForwardedOutcome::kGivenUp;
  // Delay after which a refused client should try again, or after which a job
  // that was given up may be run again.
  milliseconds retry_after{0};
  friend bool operator==(const ForwardedJobEnded&,
                         const ForwardedJobEnded&) = default;
};

// Asks another entry to cancel a job; answered with JobCancelled.
struct CancelJob {
  // Chosen by the sender; the answer repeats it.
  std::uint64_t request = 0;
  std::uint64_t job = 0;
  // A client has cancelled the job, so it must not run if it arrives later. If
  // false, the sender, which has forwarded the job, does not wait for it any
  // more; the job ends only if nobody else waits for it.
  bool is_final = false;
  friend bool operator==(const CancelJob&, const CancelJob&) = default;
};

struct JobCancelled {
  std::uint64_t request = 0;
  std::uint64_t job = 0;
  // Whether the sender owned the job.
  bool was_known = false;
  friend bool operator==(const JobCancelled&, const JobCancelled&) = default;
};

// Digests of jobs that the sender has accepted from clients since its last
// message of this kind; in the first one on a link, of all recent ones.
struct AcceptedJobs {
  std::vector<std::uint32_t> digests;
  friend bool operator==(const AcceptedJobs&, const AcceptedJobs&) = default;
};

// Asks another entry, on behalf of a client that has submitted the job, what it
// knows of the job, and to tell its end if it has the job. Answered with
// ForwardedJobEnded at once, and when the job ends; withdrawn with CancelJob.
struct FollowJob {
  std::uint64_t job = 0;
  // Where the sender listens. Of two entries that are about to run the same
  // job, the one with the lower address does.
  Endpoint address;
  // How long the client still waits for the reply.
  milliseconds client_timeout{0};
  friend bool operator==(const FollowJob&, const FollowJob&) = default;
};

using Message =
    std::variant<EntryHello, StartRun, StopRun, Ping, ConfigOffer, KnownEntries,
                 AgentHello, LoadReport, StartRefused, RunEnded, EvacuationList,
                 ConfigAnnouncement, ConfigRequest, EntryLoad, ForwardJob,
                 ForwardedJobEnded, CancelJob, JobCancelled, AcceptedJobs,
                 FollowJob>;

}  // namespace dottereltrack::pool
