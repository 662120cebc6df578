#include "apps/ctl/tables.h"

#include <algorithm>
#include <utility>

namespace dottereltrack {
namespace {

using nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

// Formats a field as text, or as "-" if it is absent or empty.
std::string Field(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || *it == "") return "-";
  if (it->is_boolean()) return it->get<bool>() ? "yes" : "no";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

bool IsSet(const json& object, const char* name) {
  return Field(object, name) == "yes";
}

// Formats an object as "a=1 b=2", or as "-" if it is empty.
std::string Pairs(const json& object) {
  std::string text;
  for (const auto& item : object.items()) {
    if (!text.empty()) text += " ";
    text += item.key() + "=" + Field(object, item.key().c_str());
  }
  return text.empty() ? "-" : text;
}

std::string AgentState(const json& agent) {
  std::string state = Field(agent, "phase");
  for (const char* flag : {"draining", "leaving", "ejected"}) {
    if (IsSet(agent, flag)) state += std::string(",") + flag;
  }
  return state;
}

std::string Connection(const json& status, const json& member) {
  if (member["entry"] == status["entry"]) return "this entry";
  for (const json& peer : status["peers"]) {
    if (peer["entry"] == member["entry"]) {
      return IsSet(peer, "connected") ? "connected" : "not connected";
    }
  }
  return "not connected";
}

Rows MemberRows(const json& status) {
  Rows rows = {{"ENTRY", "ADDRESS", "DATA CENTRE", "ROLE", "CONNECTION"}};
  for (const json& member : status["table"]["members"]) {
    const bool dispatches = member["entry"] == status["table"]["dispatcher"];
    rows.push_back({Field(member, "entry"), Field(member, "address"),
                    Field(member, "data_centre"),
                    dispatches ? "dispatcher" : "member",
                    Connection(status, member)});
  }
  return rows;
}

Rows AgentRows(const json& status) {
  Rows rows = {{"MINION", "AGENT", "DATA CENTRE", "RACK", "SLOTS", "RUNNING",
                "STATE", "LABELS"}};
  for (const json& agent : status["agents"]) {
    rows.push_back({Field(agent, "minion"), Field(agent, "agent"),
                    Field(agent, "data_centre"), Field(agent, "rack"),
                    Field(agent, "slots"), Field(agent, "in_progress"),
                    AgentState(agent), Pairs(agent["labels"])});
  }
  return rows;
}

std::string StatusSummary(const json& status) {
  const json& store = status["store"];
  return "entry " + Field(status, "entry") + " in " +
         Field(status, "data_centre") + ": " + Field(status, "role") +
         ", authority " + Field(status, "has_authority") + ", stopping " +
         Field(status, "stopping") + "\n" + "generation " +
         Field(status["table"], "generation") + ", configuration version " +
         Field(status, "config_version") + ", failed store calls " +
         Field(store, "failures") + "\n" + "open jobs " +
         Field(status, "open_jobs") + ", queued tasks " +
         Field(status, "queued_tasks") + ", open calls " +
         Field(status, "open_calls") + "\n";
}

}  // namespace

std::string RenderColumns(const Rows& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      text += row[n];
      if (n + 1 < row.size()) {
        text += std::string(widths[n] + 2 - row[n].size(), ' ');
      }
    }
    text += "\n";
  }
  return text;
}

std::string StatusText(const json& status) {
  return StatusSummary(status) + "\n" + RenderColumns(MemberRows(status)) +
         "\n" + RenderColumns(AgentRows(status));
}

std::string ConfigText(const json& config) {
  Rows teams = {{"TEAM", "MAX IN PROGRESS", "WEIGHT"}};
  for (const auto& item : config["teams"].items()) {
    const bool unlimited = item.value()["max_in_progress"] == 0;
    teams.push_back(
        {item.key(),
         unlimited ? "no limit" : Field(item.value(), "max_in_progress"),
         Field(item.value(), "weight")});
  }
  Rows labels = {{"MINION", "LABEL OVERRIDES"}};
  for (const auto& item : config["label_overrides"].items()) {
    labels.push_back({item.key(), Pairs(item.value())});
  }
  Rows drained = {{"DRAINED MINIONS"}};
  for (const json& name : config["drained_minions"]) {
    drained.push_back({name.get<std::string>()});
  }
  return "version " + Field(config, "version") + "\n\n" + RenderColumns(teams) +
         "\n" + RenderColumns(labels) + "\n" + RenderColumns(drained);
}

std::string AnswerText(const json& answer) {
  if (!answer.contains("tasks")) {
    return "job " + Field(answer, "id") +
           " is still open; submit the file again with the key " +
           Field(answer, "key") + "\n";
  }
  std::string text =
      "job " + Field(answer, "id") + ", key " + Field(answer, "key") + ": ";
  text += IsSet(answer, "complete") ? "complete"
                                    : "failed, " + Field(answer, "failure");
  Rows rows = {{"TASK", "STATE", "RESULT OR REASON"}};
  for (const json& task : answer["tasks"]) {
    const char* shown = task.contains("result")          ? "result"
                        : task.contains("result_base64") ? "result_base64"
                                                         : "reason";
    rows.push_back({std::to_string(rows.size() - 1), Field(task, "state"),
                    Field(task, shown)});
  }
  return text + "\n\n" + RenderColumns(rows);
}

std::string ErrorText(const json& error) {
  std::string text = Field(error, "code") + ": " + Field(error, "message");
  if (error.contains("outcome")) {
    text += " (outcome: " + Field(error, "outcome") + ")";
  }
  if (error.contains("retry_after_ms")) {
    text += "; try again after " + Field(error, "retry_after_ms") + " ms";
  }
  return text + "\n";
}

}  // namespace dottereltrack
