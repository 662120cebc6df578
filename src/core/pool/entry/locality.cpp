#include "core/pool/entry/locality.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "core/pool/entry/backlog.h"
#include "core/pool/entry/evacuation.h"

namespace dottereltrack::pool {
namespace {

bool HasLabel(const AgentHello& hello, const std::string& label) {
  return std::find(hello.labels.begin(), hello.labels.end(), label) !=
         hello.labels.end();
}

bool MayRun(const TaskRow& task) {
  return task.state == TaskState::kPlaced ||
         task.state == TaskState::kStopping || task.state == TaskState::kLost;
}

bool IsOfSameStep(const TaskRow& a, const TaskRow& b) {
  return a.key.job == b.key.job && a.key.step == b.key.step;
}

// Number of tasks of the same step that may run on the minion.
std::uint32_t CountRunsOfStep(const EntryBoard& board, const TaskRow& task,
                              const std::string& minion) {
  const auto [begin, end] = TasksOf(board, task.key.job);
  return static_cast<std::uint32_t>(
      std::count_if(begin, end, [&](const auto& it) {
        return IsOfSameStep(it.second, task) && MayRun(it.second) &&
               it.second.minion == minion;
      }));
}

const AgentHello* FindMinion(const EntryBoard& board,
                             const std::string& minion) {
  for (const auto& [link, agent] : board.agents) {
    if (agent.hello->minion == minion) return &*agent.hello;
  }
  return nullptr;
}

// Rack of a run of the step; empty if none has been started.
std::string RackOfStep(const EntryBoard& board, const TaskRow& task) {
  const auto [begin, end] = TasksOf(board, task.key.job);
  for (auto it = begin; it != end; ++it) {
    const TaskRow& other = it->second;
    if (!IsOfSameStep(other, task) || other.minion.empty()) continue;
    if (!MayRun(other) && other.state != TaskState::kDone) continue;
    const AgentHello* hello = FindMinion(board, other.minion);
    if (hello != nullptr) return hello->rack;
  }
  return {};
}

std::string RackWithMostRoom(const EntryBoard& board, const TaskRow& task) {
  const JobRow* job = board.jobs.Find(task.key.job);
  std::map<std::string, std::int64_t> room;
  for (const auto& [link, agent] : board.agents) {
    const AgentHello& hello = *agent.hello;
    if (job == nullptr || hello.service != job->service) continue;
    if (!IsUsable(board, agent) || !Fits(task.needs, agent.free)) continue;
    if (!task.rules.required_label.empty() &&
        !HasLabel(hello, task.rules.required_label)) {
      continue;
    }
    room[hello.rack] += agent.free.cpu_millis;
  }
  const auto largest = std::max_element(
      room.begin(), room.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return largest == room.end() ? std::string() : largest->first;
}

}  // namespace

milliseconds TimeSavedNear(const RemoteStart& start) {
  const double saved =
      (start.remote_factor - 1) * static_cast<double>(start.run_time.count());
  return milliseconds{std::llround(std::max(saved, 0.0))};
}

bool ShouldWaitForNear(const RemoteStart& start) {
  if (!start.near_delay) return false;
  const milliseconds saved = TimeSavedNear(start);
  if (*start.near_delay >= saved || start.waited >= saved) return false;
  return *start.near_delay + start.run_time <= start.time_left;
}

TaskView ViewOf(const EntryBoard& board, const TaskRow& task,
                const AgentHello& hello, const std::string& near_rack,
                std::uint32_t starts_of_step) {
  const PlacementRules& rules = task.rules;
  TaskView view;
  if (!rules.required_label.empty()) {
    view.is_allowed = HasLabel(hello, rules.required_label);
  }
  if (view.is_allowed && rules.max_per_minion > 0) {
    const std::uint32_t runs = CountRunsOfStep(board, task, hello.minion);
    view.is_allowed = runs + starts_of_step < rules.max_per_minion;
  }
  view.is_near = near_rack.empty() || hello.rack == near_rack;
  return view;
}

bool HasRequiredMinions(const EntryBoard& board, const std::string& service,
                        const JobSpec& job) {
  return std::all_of(
      job.steps.begin(), job.steps.end(), [&](const StepSpec& step) {
        const std::string& label = step.rules.required_label;
        if (label.empty()) return true;
        return std::any_of(
            board.agents.begin(), board.agents.end(), [&](const auto& it) {
              const AgentRow& agent = it.second;
              return agent.hello->service == service &&
                     IsUsable(board, agent) && HasLabel(*agent.hello, label);
            });
      });
}

std::string NearRackOf(const EntryBoard& board, const TaskRow& task) {
  if (!task.rules.data_rack.empty()) return task.rules.data_rack;
  if (!task.rules.is_colocated) return {};
  const std::string rack = RackOfStep(board, task);
  return rack.empty() ? RackWithMostRoom(board, task) : rack;
}

std::optional<milliseconds> EstimateNearDelay(const EntryBoard& board,
                                              const TaskRow& task,
                                              const std::string& service,
                                              const std::string& rack,
                                              double work_ahead) {
  double rate = 0;
  for (const auto& [link, agent] : board.agents) {
    const AgentHello& hello = *agent.hello;
    if (hello.rack != rack || hello.service != service) continue;
    if (!IsUsable(board, agent)) continue;
    rate += static_cast<double>(hello.capacity.cpu_millis) /
            std::exp(agent.load.log_slowness);
  }
  if (rate <= 0) return std::nullopt;
  const double work = work_ahead + WorkOf(task);
  return milliseconds{std::llround(work * SharersOfMinions(board) / rate)};
}

}  // namespace dottereltrack::pool
