#include "core/pool/entry/first_starts.h"

namespace dottereltrack::pool {

std::vector<CallId> FindDisconnectedCallers(const EntryBoard& board,
                                            const EntryChanges& placement,
                                            const CallerCheck& is_connected) {
  std::vector<CallId> disconnected;
  if (!is_connected) return disconnected;
  for (const EntryRowChange& change : placement.board_changes()) {
    const auto* put = std::get_if<Put<JobRow>>(&change);
    if (put == nullptr || !put->row.may_have_started) continue;
    const JobRow* job = board.jobs.Find(put->row.id);
    if (job == nullptr || job->may_have_started) continue;
    for (const CallId& call : job->waiters) {
      if (!is_connected(call)) disconnected.push_back(call);
    }
  }
  return disconnected;
}

}  // namespace dottereltrack::pool
