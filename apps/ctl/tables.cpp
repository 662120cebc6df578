#include "apps/ctl/tables.h"

#include <algorithm>
#include <utility>

namespace dottereltrack {
namespace {

using nlohmann::json;
using Rows = std::vector<std::vector<std::string>>;

// Formats a field as text, or as "-" if it is absent or empty.
std::string FormatField(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || *it == "") return "-";
  if (it->is_boolean()) return it->get<bool>() ? "yes" : "no";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

bool IsTrue(const json& object, const char* name) {
  return FormatField(object, name) == "yes";
}

// Formats an object as "a=1 b=2", or as "-" if it is empty.
std::string FormatPairs(const json& object) {
  std::string text;
  for (const auto& item : object.items()) {
    if (!text.empty()) text += " ";
    text += item.key() + "=" + FormatField(object, item.key().c_str());
  }
  return text.empty() ? "-" : text;
}

std::string AgentState(const json& agent) {
  std::string state = FormatField(agent, "phase");
  for (const char* flag : {"draining", "leaving", "ejected"}) {
    if (IsTrue(agent, flag)) state += std::string(",") + flag;
  }
  return state;
}

std::string ConnectionState(const json& status, const json& member) {
  if (member["entry"] == status["entry"]) return "this entry";
  for (const json& peer : status["peers"]) {
    if (peer["entry"] == member["entry"]) {
      return IsTrue(peer, "connected") ? "connected" : "not connected";
    }
  }
  return "not connected";
}

Rows MemberRows(const json& status) {
  Rows rows = {{"ENTRY", "ADDRESS", "DATA CENTRE", "ROLE", "CONNECTION"}};
  for (const json& member : status["table"]["members"]) {
    const bool is_dispatcher = member["entry"] == status["table"]["dispatcher"];
    rows.push_back({FormatField(member, "entry"),
                    FormatField(member, "address"),
                    FormatField(member, "data_centre"),
                    is_dispatcher ? "dispatcher" : "member",
                    ConnectionState(status, member)});
  }
  return rows;
}

Rows AgentRows(const json& status) {
  Rows rows = {{"MINION", "AGENT", "DATA CENTRE", "RACK", "SLOTS", "RUNNING",
                "STATE", "LABELS"}};
  for (const json& agent : status["agents"]) {
    rows.push_back({FormatField(agent, "minion"), FormatField(agent, "agent"),
                    FormatField(agent, "data_centre"),
                    FormatField(agent, "rack"), FormatField(agent, "slots"),
                    FormatField(agent, "in_progress"), AgentState(agent),
                    FormatPairs(agent["labels"])});
  }
  return rows;
}

std::string StatusSummary(const json& status) {
  const json& store = status["store"];
  return "entry " + FormatField(status, "entry") + " in " +
         FormatField(status, "data_centre") + ": " +
         FormatField(status, "role") + ", authority " +
         FormatField(status, "has_authority") + ", stopping " +
         FormatField(status, "stopping") + "\n" + "generation " +
         FormatField(status["table"], "generation") +
         ", configuration version " + FormatField(status, "config_version") +
         ", failed store calls " + FormatField(store, "failures") + "\n" +
         "open jobs " + FormatField(status, "open_jobs") + ", queued tasks " +
         FormatField(status, "queued_tasks") + ", open calls " +
         FormatField(status, "open_calls") + "\n";
}

}  // namespace

std::string FormatColumns(const Rows& rows) {
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

std::string FormatStatus(const json& status) {
  return StatusSummary(status) + "\n" + FormatColumns(MemberRows(status)) +
         "\n" + FormatColumns(AgentRows(status));
}

std::string FormatConfig(const json& config) {
  Rows teams = {{"TEAM", "MAX IN PROGRESS", "WEIGHT"}};
  for (const auto& item : config["teams"].items()) {
    const bool unlimited = item.value()["max_in_progress"] == 0;
    teams.push_back(
        {item.key(),
         unlimited ? "no limit" : FormatField(item.value(), "max_in_progress"),
         FormatField(item.value(), "weight")});
  }
  Rows labels = {{"MINION", "LABEL OVERRIDES"}};
  for (const auto& item : config["label_overrides"].items()) {
    labels.push_back({item.key(), FormatPairs(item.value())});
  }
  Rows drained = {{"DRAINED MINIONS"}};
  for (const json& name : config["drained_minions"]) {
    drained.push_back({name.get<std::string>()});
  }
  return "version " + FormatField(config, "version") + "\n\n" +
         FormatColumns(teams) + "\n" + FormatColumns(labels) + "\n" +
         FormatColumns(drained);
}

std::string FormatAnswer(const json& answer) {
  if (!answer.contains("tasks")) {
    return "job " + FormatField(answer, "id") +
           " is still open; submit the file again with the key " +
           FormatField(answer, "key") + "\n";
  }
  std::string text = "job " + FormatField(answer, "id") + ", key " +
                     FormatField(answer, "key") + ": ";
  text += IsTrue(answer, "complete")
              ? "complete"
              : "failed, " + FormatField(answer, "failure");
  Rows rows = {{"TASK", "STATE", "RESULT OR REASON"}};
  for (const json& task : answer["tasks"]) {
    const char* shown_field = task.contains("result")          ? "result"
                              : task.contains("result_base64") ? "result_base64"
                                                               : "reason";
    rows.push_back({std::to_string(rows.size() - 1), FormatField(task, "state"),
                    FormatField(task, shown_field)});
  }
  return text + "\n\n" + FormatColumns(rows);
}

std::string FormatError(const json& error) {
  std::string text =
      FormatField(error, "code") + ": " + FormatField(error, "message");
  if (error.contains("outcome")) {
    text += " (outcome: " + FormatField(error, "outcome") + ")";
  }
  if (error.contains("retry_after_ms")) {
    text += "; try again after " + FormatField(error, "retry_after_ms") + " ms";
  }
  return text + "\n";
}

}  // namespace dottereltrack
