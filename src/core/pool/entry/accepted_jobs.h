#pragma once

#include <cstddef>
#include <cstdint>

#include "core/pool/entry/changes.h"
#include "core/pool/entry/events.h"

namespace dottereltrack::pool {

// Announces the jobs accepted since the last announcement to the peers that
// have asked for it, once in each ping interval, in place of a ping. A job that
// has ended with an outcome is announced in the same turn, so that the peers
// know of it before a copy of its submission can arrive.
EntryChanges AnnounceAcceptedJobs(const EntryBoard& board, const Now& now);

// Announces all recent jobs to a peer that asks for announcements.
EntryChanges HandleAnnouncementRequest(const EntryBoard& board, LinkId link,
                                       const EntryHello& message);

// Records the announced jobs of a peer. If this entry has one of them at work,
// too, and the peer's address is lower, it asks the peer to run the job for
// both.
EntryChanges HandleAcceptedJobs(const EntryBoard& board, LinkId link,
                                const AcceptedJobs& message, const Now& now);

// Records that a peer has a job, as it has asked for it. Does nothing if the
// peer announces no jobs to this entry.
EntryChanges RecordPeerJob(const EntryBoard& board, const Endpoint& peer,
                           std::uint64_t job, const Now& now);

// Records that a link to a peer is lost, with what the peer has announced.
EntryChanges LosePeerJobs(const EntryBoard& board, LinkId link, const Now& now);

// Forgets jobs after the retention period, and the oldest if there are too
// many.
EntryChanges ForgetAcceptedJobs(const EntryBoard& board, const Now& now);

// Number of recent jobs that the peers have announced.
std::size_t CountPeerJobs(const EntryBoard& board);

// Whether all peers that can be reached have announced their jobs since this
// process started or was paused. At the latest `link_timeout` after that, the
// others count as down.
bool HasHeardPeers(const EntryBoard& board, const Now& now);

}  // namespace dottereltrack::pool
