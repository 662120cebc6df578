#include "core/entry/team_shares.h"

#include <algorithm>

namespace dottereltrack {
namespace {

bool IsExhausted(const ClassCursor& cursor) {
  return cursor.blocked || cursor.job == cursor.queue->order.end();
}

// Advances the cursor to the next open job. Jobs that still wait for witnesses
// are skipped.
void SkipToOpenJob(const EntryBoard& board, ClassCursor* cursor) {
  while (cursor->job != cursor->queue->order.end()) {
    const SubmissionId& id = cursor->job->id;
    if (board.jobs.Find(id)->state == JobState::kOpen) {
      cursor->task = cursor->queue->jobs.at(id).tasks.begin();
      return;
    }
    ++cursor->job;
  }
}

bool CanStartTask(const TeamCursor& team) {
  if (team.task_limit != 0 && team.in_progress >= team.task_limit) return false;
  return std::any_of(team.classes.begin(), team.classes.end(),
                     [](const ClassCursor& it) { return !IsExhausted(it); });
}

}  // namespace

std::vector<TeamCursor> MakeTeamCursors(const EntryBoard& board) {
  std::vector<TeamCursor> teams;
  for (const auto& [name, queue] : board.queue_by_team) {
    TeamCursor team;
    const auto busy = board.in_progress_by_team.find(name);
    if (busy != board.in_progress_by_team.end()) {
      team.in_progress = busy->second;
    }
    const auto config = board.stored_config.config.teams.find(name);
    if (config != board.stored_config.config.teams.end()) {
      team.task_limit = config->second.max_in_progress;
      team.weight = std::max<std::uint32_t>(config->second.weight, 1);
    }
    for (const auto& [work_class, jobs] : queue.classes) {
      ClassCursor cursor{&work_class, &jobs, jobs.order.begin(), {}, false};
      SkipToOpenJob(board, &cursor);
      team.classes.push_back(cursor);
    }
    teams.push_back(std::move(team));
  }
  return teams;
}

TeamCursor* SelectNextTeam(std::vector<TeamCursor>* teams) {
  TeamCursor* best = nullptr;
  for (TeamCursor& team : *teams) {
    if (!CanStartTask(team)) continue;
    const bool smaller =
        best == nullptr || std::uint64_t{team.in_progress} * best->weight <
                               std::uint64_t{best->in_progress} * team.weight;
    if (smaller) best = &team;
  }
  return best;
}

ClassCursor* SelectNextClass(TeamCursor* team) {
  ClassCursor* best = nullptr;
  for (ClassCursor& cursor : team->classes) {
    if (IsExhausted(cursor)) continue;
    if (best == nullptr || *cursor.job < *best->job) best = &cursor;
  }
  return best;
}

TaskId CurrentTask(const ClassCursor& cursor) {
  return {cursor.job->id, cursor.task->index};
}

void AdvanceCursor(const EntryBoard& board, ClassCursor* cursor) {
  const auto& tasks = cursor->queue->jobs.at(cursor->job->id).tasks;
  if (++cursor->task != tasks.end()) return;
  ++cursor->job;
  SkipToOpenJob(board, cursor);
}

}  // namespace dottereltrack
