#include "core/pool/agent/links.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/pool/agent/capacity.h"
#include "core/pool/agent/health.h"
#include "core/pool/agent/runs.h"
#include "core/pool/link_subset.h"

namespace dottereltrack::pool {
namespace {

bool IsSettled(const AgentBoard& board, const EntryLinkRow& link) {
  if (!board.poll.has_inventory) return false;
  return std::none_of(
      board.runs.begin(), board.runs.end(), [&](const auto& it) {
        const RunRow& run = it.second;
        const bool is_earlier = run.entry == link.entry && run.link != link.id;
        return is_earlier || run.entry == 0;
      });
}

LoadReport MakeLoadReport(const AgentBoard& board, const EntryLinkRow& link,
                          double log_slowness, const Now& now) {
  const bool accepting = !link.surplus_since && IsAccepting(board, now);
  return {link.handled_starts,
          AvailableResources(board, now),
          accepting,
          IsSettled(board, link),
          log_slowness,
          HasSuspect(board),
          HasMissedStart(board.health, now)};
}

// Whether a load report is due. Each report wakes up the entry, and small
// changes do not affect its decisions.
bool IsReportDue(const AgentBoard& board, const EntryLinkRow& link,
                 const LoadReport& report, const Now& now) {
  if (link.report_due || !link.last_report) return true;
  const LoadReport& last = *link.last_report;
  if (report == last) return false;
  if (report.accepting != last.accepting || report.settled != last.settled ||
      report.has_suspect != last.has_suspect ||
      report.misses_starts != last.misses_starts) {
    return true;
  }
  const AgentSettings& settings = board.settings;
  const BootTime age = now.boot - link.reported_at;
  if (age < link.report_interval) return false;
  if (age >= settings.max_report_interval) return true;
  const auto links = static_cast<std::int64_t>(board.links.size());
  if (age < settings.min_report_interval * links) return false;
  const double capacity =
      board.minion ? static_cast<double>(board.minion->capacity.cpu_millis) : 0;
  const auto change = std::abs(report.free.cpu_millis - last.free.cpu_millis);
  return static_cast<double>(change) >= settings.min_reported_share * capacity;
}

// Marks the links that have become surplus, or are needed again.
void UpdateSurplusLinks(const AgentBoard& board,
                        const std::vector<LinkId>& surplus, const Now& now,
                        AgentChanges* changes) {
  for (const auto& [id, link] : board.links) {
    const bool is_surplus =
        std::find(surplus.begin(), surplus.end(), id) != surplus.end();
    if (is_surplus == link.surplus_since.has_value()) continue;
    EntryLinkRow row = link;
    row.surplus_since = is_surplus ? std::optional(now.boot) : std::nullopt;
    changes->Add(Put<EntryLinkRow>{row});
    changes->Add(Decision{Severity::kStateChange,
                          is_surplus ? "entry_surplus" : "entry_needed",
                          0,
                          {{"address", link.address.host}},
                          {}});
  }
}

bool HasRuns(const AgentBoard& board, LinkId link) {
  return std::any_of(board.runs.begin(), board.runs.end(),
                     [&](const auto& it) { return it.second.link == link; });
}

}  // namespace

AgentHello MakeHello(const AgentBoard& board) {
  AgentHello hello;
  hello.agent = board.settings.id;
  if (!board.minion) return hello;
  const MinionReport& minion = *board.minion;
  hello.minion = minion.id;
  hello.service = minion.service;
  hello.data_centre = minion.data_centre;
  hello.rack = minion.rack;
  hello.labels = minion.labels;
  hello.capacity = minion.capacity;
  return hello;
}

AgentChanges AddEntries(const AgentBoard& board,
                        const std::vector<Endpoint>& entries,
                        EntrySource source, const Now& now) {
  AgentChanges changes;
  for (KnownEntry& entry : MergeEntries(board.entries, entries, source, now)) {
    changes.Add(Put<KnownEntry>{std::move(entry)});
  }
  return changes;
}

AgentChanges DialEntries(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const DialPlan plan = PlanDials(
      board.entries, {board.settings.id, board.settings.max_entry_links}, now);
  for (const Endpoint& address : plan.remove) {
    changes.Add(Erase<KnownEntry>{address});
  }
  for (const KnownEntry& entry : plan.dial) {
    changes.Add(Put<KnownEntry>{entry});
    changes.Add(DialEntry{entry.address});
  }
  UpdateSurplusLinks(board, plan.surplus, now, &changes);
  return changes;
}

AgentChanges CloseSurplusLinks(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  for (const auto& [id, link] : board.links) {
    if (!link.surplus_since || HasRuns(board, id)) continue;
    const BootTime age = now.boot - *link.surplus_since;
    if (age < board.settings.link_retirement_delay) continue;
    changes.Add(AbortEntryLink{id});
  }
  return changes;
}

AgentChanges HandleEntryDialed(const AgentBoard& board, const EntryDialed& e,
                               const Now& now) {
  AgentChanges changes;
  const KnownEntry* known = board.entries.Find(e.address);
  if (known == nullptr) {
    if (e.link) changes.Add(AbortEntryLink{*e.link});
    return changes;
  }
  changes.Add(Put<KnownEntry>{
      WithDialResult(*known, e.link, board.settings.dial_retry_delay, now)});
  if (!e.link) return changes;
  EntryLinkRow link;
  link.id = *e.link;
  link.address = e.address;
  link.last_received_at = now.boot;
  link.last_sent_at = now.boot;
  changes.Add(Put<EntryLinkRow>{link});
  AgentHello hello = MakeHello(board);
  hello.crashes = MakeCrashReports(board.crashes, now);
  changes.Add(SendToEntry{*e.link, std::move(hello)});
  return changes;
}

AgentChanges HandleEntryLinkClosed(const AgentBoard& board, LinkId link,
                                   const Now& now) {
  AgentChanges changes = StopRunsOfLink(board, link, now);
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr) return changes;
  changes.Add(Erase<EntryLinkRow>{link});
  changes.Add(Erase<ConfigSource>{link});
  if (const KnownEntry* entry = board.entries.Find(known->address)) {
    changes.Add(Put<KnownEntry>{
        WithLinkClosed(*entry, board.settings.dial_retry_delay, now)});
  }
  changes.Add(
      Decision{Severity::kStateChange,
               "entry_lost",
               0,
               {{"address", known->address.host}},
               {{"heard_ms_ago", std::chrono::duration_cast<milliseconds>(
                                     now.boot - known->last_received_at)
                                     .count()}}});
  return changes;
}

AgentChanges HandleEntryHello(const AgentBoard& board, LinkId link,
                              const EntryHello& message, const Now& now) {
  AgentChanges changes =
      AddEntries(board, message.known_entries, EntrySource::kHint, now);
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr) return changes;
  EntryLinkRow row = *known;
  row.report_interval = std::min(message.report_interval,
                                 board.settings.max_requested_report_interval);
  // A repeated hello only changes the interval.
  if (row.entry == message.entry) {
    changes.Add(Put<EntryLinkRow>{row});
    return changes;
  }
  row.entry = message.entry;
  row.report_due = true;
  changes.Add(Put<EntryLinkRow>{row});
  changes.Add(Decision{Severity::kStateChange,
                       "entry_known",
                       0,
                       {{"address", known->address.host}},
                       {}});
  return changes;
}

AgentChanges RecordEntryLinkActivity(const AgentBoard& board, LinkId link,
                                     const Now& now) {
  AgentChanges changes;
  const EntryLinkRow* known = board.links.Find(link);
  if (known == nullptr) return changes;
  EntryLinkRow row = *known;
  row.last_received_at = now.boot;
  changes.Add(Put<EntryLinkRow>{row});
  return changes;
}

AgentChanges AbortSilentEntryLinks(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  for (const auto& [id, link] : board.links) {
    if (now.boot - link.last_received_at < board.settings.link_timeout) {
      continue;
    }
    changes.Add(AbortEntryLink{id});
  }
  return changes;
}

AgentChanges AbortAllEntryLinks(const AgentBoard& board, milliseconds pause) {
  AgentChanges changes;
  for (const auto& [id, link] : board.links) changes.Add(AbortEntryLink{id});
  changes.Add(Decision{
      Severity::kStateChange, "paused", 0, {}, {{"pause_ms", pause.count()}}});
  return changes;
}

AgentChanges PingIdleEntryLinks(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const AgentSettings& settings = board.settings;
  for (const auto& [id, link] : board.links) {
    const milliseconds interval =
        std::clamp(link.report_interval, settings.ping_interval,
                   settings.max_ping_interval);
    if (now.boot - link.last_sent_at < interval) continue;
    EntryLinkRow row = link;
    row.last_sent_at = now.boot;
    changes.Add(Put<EntryLinkRow>{row});
    changes.Add(SendToEntry{id, Ping{}});
  }
  return changes;
}

AgentChanges AnnounceMinion(const AgentBoard& board,
                            const std::optional<MinionReport>& before) {
  AgentChanges changes;
  const bool is_known = before && board.minion &&
                        before->id == board.minion->id &&
                        before->capacity == board.minion->capacity;
  if (!board.minion || is_known) return changes;
  for (const auto& [id, link] : board.links) {
    EntryLinkRow row = link;
    row.last_report.reset();
    changes.Add(Put<EntryLinkRow>{row});
    changes.Add(SendToEntry{id, MakeHello(board)});
  }
  return changes;
}

AgentChanges ReportLoad(const AgentBoard& board, const Now& now) {
  AgentChanges changes;
  const double log_slowness = CurrentLogSlowness(board);
  for (const auto& [id, link] : board.links) {
    if (link.entry == 0) continue;
    const LoadReport report = MakeLoadReport(board, link, log_slowness, now);
    if (!IsReportDue(board, link, report, now)) continue;
    EntryLinkRow row = link;
    row.last_report = report;
    row.report_due = false;
    row.reported_at = now.boot;
    row.last_sent_at = now.boot;
    changes.Add(Put<EntryLinkRow>{row});
    changes.Add(SendToEntry{id, report});
  }
  return changes;
}

}  // namespace dottereltrack::pool
