#include "core/entry/team_shares.h"

#include <algorithm>

namespace dottereltrack {
namespace {

bool IsEmpty(const ClassCursor& cursor) {
  return cursor.blocked || cursor.job == cursor.queue->order.end();
}

// Jobs that wait for witnesses are passed over.
void EnterOpenJob(const EntryBoard& board, ClassCursor* cursor) {
  while (cursor->job != cursor->queue->order.end()) {
    const SubmissionId& id = cursor->job->id;
    if (board.jobs.Find(id)->state == JobState::kOpen) {
      cursor->task = cursor->queue->jobs.at(id).tasks.begin();
      return;
    }
    ++cursor->job;
  }
}

bool MayStart(const TeamCursor& team) {
  if (team.limit != 0 && team.in_progress >= team.limit) return false;
  return std::any_of(team.classes.begin(), team.classes.end(),
                     [](const ClassCursor& it) { return !IsEmpty(it); });
}

}  // namespace

std::vector<TeamCursor> CursorsOf(const EntryBoard& board) {
  std::vector<TeamCursor> teams;
  for (const auto& [name, queue] : board.queue_by_team) {
    TeamCursor team;
    const auto busy = board.in_progress_by_team.find(name);
    if (busy != board.in_progress_by_team.end()) {
      team.in_progress = busy->second;
    }
    const auto config = board.stored_config.config.teams.find(name);
    if (config != board.stored_config.config.teams.end()) {
      team.limit = config->second.max_in_progress;
      team.weight = std::max<std::uint32_t>(config->second.weight, 1);
    }
    for (const auto& [work, jobs] : queue.classes) {
      ClassCursor cursor{&work, &jobs, jobs.order.begin(), {}, false};
      EnterOpenJob(board, &cursor);
      team.classes.push_back(cursor);
    }
    teams.push_back(std::move(team));
  }
  return teams;
}

TeamCursor* NextTeam(std::vector<TeamCursor>* teams) {
  TeamCursor* best = nullptr;
  for (TeamCursor& team : *teams) {
    if (!MayStart(team)) continue;
    const bool smaller =
        best == nullptr || std::uint64_t{team.in_progress} * best->weight <
                               std::uint64_t{best->in_progress} * team.weight;
    if (smaller) best = &team;
  }
  return best;
}

ClassCursor* NextClass(TeamCursor* team) {
  ClassCursor* best = nullptr;
  for (ClassCursor& cursor : team->classes) {
    if (IsEmpty(cursor)) continue;
    if (best == nullptr || *cursor.job < *best->job) best = &cursor;
  }
  return best;
}

TaskId TaskAt(const ClassCursor& cursor) {
  return {cursor.job->id, cursor.task->index};
}

void SkipTask(const EntryBoard& board, ClassCursor* cursor) {
  const auto& tasks = cursor->queue->jobs.at(cursor->job->id).tasks;
  if (++cursor->task != tasks.end()) return;
  ++cursor->job;
  EnterOpenJob(board, cursor);
}

}  // namespace dottereltrack
