#include "core/pool/entry/accepted_jobs.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/pool/link_subset.h"

namespace dottereltrack::pool {
namespace {

// Lost links to one peer whose jobs are remembered. It bounds the memory when
// links break again and again.
constexpr std::size_t kMaxLostLinks = 4;

bool IsAnnouncementDue(const EntryBoard& board, const Now& now) {
  const AcceptedJobLog& log = board.accepted_jobs;
  if (log.unannounced.empty()) return false;
  return log.is_due ||
         now.boot >= log.announced_at + board.settings.ping_interval;
}

// Two entries have accepted the job without knowing of each other. The one with
// the lower address goes on.
void FollowPeer(const EntryBoard& board, const LinkRow& link, JobDigest digest,
                const Now& now, EntryChanges* changes) {
  if (*link.dialed_address >= board.settings.address) return;
  auto it = board.active_jobs_by_digest.lower_bound({digest, 0});
  for (; it != board.active_jobs_by_digest.end() && it->first == digest; ++it) {
    JobRow job = *board.jobs.Find(it->second);
    const bool is_asked =
        job.asked_to_take_over && board.links.Contains(*job.asked_to_take_over);
    if (!job.is_announced || is_asked || job.forwarded_to == link.id) continue;
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(job.deadline_at - now.boot);
    job.asked_to_take_over = link.id;
    changes->Add(Put<JobRow>{job});
    changes->Add(SendMessage{
        link.id, FollowJob{job.id, board.settings.address, time_left}});
  }
}

PeerJobs WithJobs(const PeerJobs& known, std::vector<JobDigest> added,
                  const Now& now) {
  PeerJobs row = known;
  row.jobs = WithDigests(std::move(row.jobs), std::move(added), now);
  return row;
}

// Forgets the jobs of the oldest lost link to a peer if there are too many.
void ForgetOldestLostLink(const EntryBoard& board, const Endpoint& address,
                          EntryChanges* changes) {
  std::vector<std::pair<BootTime, LinkId>> lost;
  for (const auto& [link, peer] : board.peer_jobs) {
    if (peer.lost_at && peer.address == address) {
      lost.emplace_back(*peer.lost_at, link);
    }
  }
  if (lost.size() < kMaxLostLinks) return;
  changes->Add(
      Erase<PeerJobs>{std::min_element(lost.begin(), lost.end())->second});
}

}  // namespace

EntryChanges AnnounceAcceptedJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  if (!IsAnnouncementDue(board, now)) return changes;
  const AcceptedJobLog& log = board.accepted_jobs;
  for (const auto& [id, link] : board.links) {
    if (!link.wants_accepted_jobs) continue;
    changes.Add(SendMessage{id, AcceptedJobs{log.unannounced}});
  }
  changes.Add(SetAcceptedJobs{
      {WithDigests(log.announced, log.unannounced, now), {}, now.boot, false}});
  return changes;
}

EntryChanges HandleAnnouncementRequest(const EntryBoard& board, LinkId link,
                                       const EntryHello& message) {
  EntryChanges changes;
  const LinkRow* known = board.links.Find(link);
  if (known == nullptr || known->wants_accepted_jobs ||
      !message.wants_accepted_jobs) {
    return changes;
  }
  LinkRow row = *known;
  row.wants_accepted_jobs = true;
  changes.Add(Put<LinkRow>{std::move(row)});
  changes.Add(SendMessage{
      link, AcceptedJobs{ListDigests(board.accepted_jobs.announced)}});
  return changes;
}

EntryChanges HandleAcceptedJobs(const EntryBoard& board, LinkId link,
                                const AcceptedJobs& message, const Now& now) {
  EntryChanges changes;
  const LinkRow* row = board.links.Find(link);
  if (row == nullptr || !row->dialed_address) return changes;
  const PeerJobs* known = board.peer_jobs.Find(link);
  PeerJobs peer;
  peer.link = link;
  peer.address = *row->dialed_address;
  peer.heard_at = now.boot;
  if (known != nullptr) peer = *known;
  changes.Add(Put<PeerJobs>{WithJobs(peer, message.digests, now)});
  for (const JobDigest digest : message.digests) {
    FollowPeer(board, *row, digest, now, &changes);
  }
  return changes;
}

EntryChanges RecordPeerJob(const EntryBoard& board, const Endpoint& peer,
                           std::uint64_t job, const Now& now) {
  EntryChanges changes;
  const KnownEntry* entry = board.peers.Find(peer);
  if (entry == nullptr || !entry->link) return changes;
  const PeerJobs* known = board.peer_jobs.Find(*entry->link);
  if (known == nullptr) return changes;
  changes.Add(Put<PeerJobs>{WithJobs(*known, {DigestOf(job)}, now)});
  return changes;
}

EntryChanges LosePeerJobs(const EntryBoard& board, LinkId link,
                          const Now& now) {
  EntryChanges changes;
  const PeerJobs* known = board.peer_jobs.Find(link);
  if (known == nullptr) return changes;
  // A silent link is closed later than the peer was lost, which was before its
  // next ping.
  const LinkRow& row = *board.links.Find(link);
  ForgetOldestLostLink(board, known->address, &changes);
  PeerJobs lost = *known;
  lost.lost_at = std::min<BootTime>(
      now.boot, row.last_received_at + board.settings.saving_ping_interval);
  changes.Add(Put<PeerJobs>{std::move(lost)});
  return changes;
}

EntryChanges ForgetAcceptedJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const BootTime oldest = now.boot - board.settings.past_job_retention;
  const std::size_t max_count = board.settings.max_past_jobs;
  const AcceptedJobLog& log = board.accepted_jobs;
  if (HasExcessBlock(log.announced, oldest, max_count)) {
    AcceptedJobLog kept = log;
    kept.announced =
        WithoutExcessBlocks(std::move(kept.announced), oldest, max_count);
    changes.Add(SetAcceptedJobs{std::move(kept)});
  }
  for (const auto& [link, peer] : board.peer_jobs) {
    if (peer.lost_at && peer.jobs.blocks.empty()) {
      changes.Add(Erase<PeerJobs>{link});
    } else if (HasExcessBlock(peer.jobs, oldest, max_count)) {
      PeerJobs kept = peer;
      kept.jobs = WithoutExcessBlocks(std::move(kept.jobs), oldest, max_count);
      changes.Add(Put<PeerJobs>{std::move(kept)});
    }
  }
  return changes;
}

std::size_t CountPeerJobs(const EntryBoard& board) {
  std::size_t count = 0;
  for (const auto& [link, peer] : board.peer_jobs) {
    count += CountDigests(peer.jobs);
  }
  return count;
}

bool HasHeardPeers(const EntryBoard& board, const Now& now) {
  const BootTime since = std::max(board.started_at, board.paused_until);
  if (now.boot >= since + board.settings.link_timeout) return true;
  const SubsetChoice choice = ChooseEntries(
      board.peers, {board.settings.id, board.settings.max_entry_links});
  return std::all_of(choice.wanted.begin(), choice.wanted.end(),
                     [&](const KnownEntry* peer) {
                       if (!peer->link) return peer->failed_dials > 0;
                       const PeerJobs* jobs = board.peer_jobs.Find(*peer->link);
                       return jobs != nullptr && jobs->heard_at >= since;
                     });
}

}  // namespace dottereltrack::pool
