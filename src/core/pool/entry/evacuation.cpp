#include "core/pool/entry/evacuation.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/pool/entry/outcomes.h"

namespace dottereltrack::pool {
namespace {

// Logs a change of an evacuation with what it means for this entry.
Decision SwitchDecision(const EntryBoard& board, const Evacuation& evacuation,
                        const std::string& source) {
  std::int64_t agents = 0;
  std::int64_t cpu_millis = 0;
  for (const auto& [link, agent] : board.agents) {
    if (agent.hello->data_centre != evacuation.data_centre) continue;
    ++agents;
    cpu_millis += agent.hello->capacity.cpu_millis;
  }
  return {Severity::kStateChange,
          evacuation.is_active ? "evacuation_started" : "evacuation_ended",
          0,
          {{"data_centre", evacuation.data_centre}, {"source", source}},
          {{"revision", static_cast<std::int64_t>(evacuation.revision)},
           {"agents", agents},
           {"cpu_millis", cpu_millis}}};
}

EntryChanges AdoptUpdate(const EntryBoard& board, EvacuationUpdate update,
                         const std::string& source) {
  EntryChanges changes;
  for (const Evacuation& it : update.switched) {
    changes.Add(SwitchDecision(board, it, source));
  }
  if (update.registers != board.evacuations) {
    changes.Add(SetEvacuations{std::move(update.registers)});
  }
  return changes;
}

// Services with minions in evacuated data centres only.
std::set<std::string> FindEvacuatedServices(const EntryBoard& board) {
  std::set<std::string> evacuated;
  if (CountEvacuated(board.evacuations) == 0) return evacuated;
  std::set<std::string> others;
  for (const auto& [link, agent] : board.agents) {
    const bool is_evacuated =
        IsEvacuated(board.evacuations, agent.hello->data_centre);
    (is_evacuated ? evacuated : others).insert(agent.hello->service);
  }
  for (const std::string& service : others) evacuated.erase(service);
  return evacuated;
}

bool IsWarmedUp(const EntryBoard& board, const Now& now) {
  return now.boot >= board.started_at + board.settings.warm_up_time;
}

}  // namespace

EntryChanges HandleEvacuationsRead(const EntryBoard& board,
                                   const EvacuationView& view, const Now& now) {
  return AdoptUpdate(board, MergeEvacuationView(board.evacuations, view, now),
                     "the store");
}

EntryChanges HandleEvacuationList(const EntryBoard& board, LinkId link,
                                  const EvacuationList& message,
                                  const Now& now) {
  EvacuationUpdate update =
      MergeEvacuations(board.evacuations, message.evacuations, now);
  const LinkRow* known = board.links.Find(link);
  EntryChanges changes;
  if (known != nullptr) {
    LinkRow row = *known;
    if (update.is_sender_complete) {
      row.known_evacuation_changes = update.registers.changes;
    }
    if (update.is_sender_outdated) row.known_evacuation_changes = 0;
    changes.Add(Put<LinkRow>{row});
  }
  changes.Append(
      AdoptUpdate(board, std::move(update),
                  board.agents.Contains(link) ? "an agent" : "an entry"));
  return changes;
}

EntryChanges SendEvacuations(const EntryBoard& board) {
  EntryChanges changes;
  const std::uint64_t current = board.evacuations.changes;
  for (const auto& [id, link] : board.links) {
    if (link.known_evacuation_changes >= current) continue;
    LinkRow row = link;
    row.known_evacuation_changes = current;
    changes.Add(Put<LinkRow>{row});
    changes.Add(
        SendMessage{id, EvacuationList{ListEvacuations(board.evacuations)}});
  }
  return changes;
}

EntryChanges RefuseEvacuatedJobs(const EntryBoard& board, const Now& now) {
  EntryChanges changes;
  const std::set<std::string> services = FindEvacuatedServices(board);
  if (services.empty() || !IsWarmedUp(board, now)) return changes;
  for (const std::uint64_t id : board.active_jobs) {
    const JobRow& job = *board.jobs.Find(id);
    if (job.may_have_started || !services.contains(job.service)) continue;
    changes.Append(AbandonJob(board, job, ReplyKind::kNoMinions,
                              kOnlyEvacuatedMinions, now));
  }
  return changes;
}

bool IsUsable(const EntryBoard& board, const AgentRow& agent) {
  return agent.load.accepting &&
         !IsEvacuated(board.evacuations, agent.hello->data_centre);
}

Resources UsableCapacity(const EntryBoard& board, const AgentRow& agent,
                         const Now& now) {
  const double share = UsableShare(board.evacuations, agent.hello->data_centre,
                                   milliseconds{0}, now);
  return ShareOf(agent.hello->capacity, share);
}

bool HasOnlyEvacuatedMinions(const EntryBoard& board,
                             const std::string& service, const Now& now) {
  return IsWarmedUp(board, now) &&
         FindEvacuatedServices(board).contains(service);
}

}  // namespace dottereltrack::pool
