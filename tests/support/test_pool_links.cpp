// Connections between the processes of a TestPool.

#include <algorithm>
#include <utility>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

using namespace pool;  // NOLINT(google-build-using-namespace)

// Same as in the daemons.
constexpr milliseconds kDialTimeout{150};

bool IsWorkMessage(const Message& message) {
  if (std::holds_alternative<StartRun>(message)) return true;
  const auto* ended = std::get_if<RunEnded>(&message);
  return ended != nullptr && ended->end == RunEnd::kDone;
}

}  // namespace

void TestPool::HandleEffect(int process, const SendMessage& effect) {
  Send(process, effect.link, effect.message);
}

void TestPool::HandleEffect(int process, const SendToEntry& effect) {
  Send(process, effect.link, effect.message);
}

void TestPool::HandleEffect(int process, const DialPeer& effect) {
  Dial(process, EntryAt(effect.address),
       [this, process, address = effect.address](std::optional<LinkId> link) {
         Post(process, EntryEvent{PeerDialed{address, link}});
       });
}

void TestPool::HandleEffect(int process, const DialEntry& effect) {
  Dial(process, EntryAt(effect.address),
       [this, process, address = effect.address](std::optional<LinkId> link) {
         Post(process, AgentEvent{EntryDialed{address, link}});
       });
}

void TestPool::HandleEffect(int process, const AbortLink& effect) {
  const auto it = links_.find(effect.link);
  if (it == links_.end()) return;
  const int side = SideOf(it->second, process);
  Reset(effect.link, side);
  ReportClosed(effect.link, side);
}

void TestPool::HandleEffect(int process, const AbortEntryLink& effect) {
  HandleEffect(process, AbortLink{effect.link});
}

void TestPool::Dial(int from, int to,
                    const std::function<void(std::optional<LinkId>)>& done) {
  const std::uint64_t incarnation = processes_[from].incarnation;
  const BootTime round_trip = 2 * DelayBetween(from, to);
  const bool is_reachable = !IsCut(from, to) && !IsCut(to, from) &&
                            processes_[to].state != ProcessState::kPoweredOff;
  const bool listens = processes_[to].state == ProcessState::kRunning ||
                       processes_[to].state == ProcessState::kFrozen;
  const BootTime wait = is_reachable ? round_trip : BootTime{kDialTimeout};
  clock_.ScheduleAfter(wait, [this, from, to, incarnation, done,
                              connects = is_reachable && listens] {
    if (processes_[from].incarnation != incarnation) return;
    const bool is_up = processes_[to].state == ProcessState::kRunning ||
                       processes_[to].state == ProcessState::kFrozen;
    if (!connects || !is_up) return done(std::nullopt);
    const LinkId id{next_id_++};
    Link link;
    link.processes[0] = from;
    link.processes[1] = to;
    links_.emplace(id, std::move(link));
    done(id);
  });
}

void TestPool::Send(int from, LinkId id, const Message& message) {
  ++(IsWorkMessage(message) ? message_counts_.work_messages
                            : message_counts_.overhead_messages);
  if (const auto* ended = std::get_if<RunEnded>(&message)) {
    if (ended->end == RunEnd::kDone) ++message_counts_.results;
  }
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  const int side = SideOf(it->second, from);
  if (!it->second.open[side]) return;
  Deliver(id, side, [this, id, side, message] {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    const Link& link = found->second;
    const int to = link.processes[1 - side];
    const bool has_power = processes_[to].state != ProcessState::kPoweredOff;
    if (link.open[1 - side]) {
      if (IsAgent(to)) {
        Post(to, AgentEvent{EntryMessage{id, message}});
      } else {
        Post(to, EntryEvent{MessageReceived{id, message}});
        // All configurations of a test have the same queues.
        if (const auto* offer = std::get_if<ConfigOffer>(&message)) {
          Post(to, EntryEvent{ConfigRead{{offer->version, config_.queues},
                                         offer->text}});
        }
      }
    } else if (has_power && link.open[side]) {
      // The other side has closed the connection, so its machine sends a reset.
      Deliver(id, 1 - side, [this, id, side] { ReportClosed(id, side); });
    }
  });
}

void TestPool::Deliver(LinkId id, int side,
                       const std::function<void()>& action) {
  Link& link = links_.at(id);
  const int from = link.processes[side];
  const int to = link.processes[1 - side];
  if (IsCut(from, to)) {
    link.undelivered[side].push_back(action);
    return;
  }
  const BootTime at =
      std::max(link.last_delivery[side], clock_.now() + DelayBetween(from, to));
  link.last_delivery[side] = at;
  clock_.ScheduleAt(at, action);
}

void TestPool::ReportClosed(LinkId id, int side) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = it->second;
  if (!link.open[side]) return;
  link.open[side] = false;
  const int process = link.processes[side];
  // Reported in the next turn of the event loop, as in the daemons.
  clock_.ScheduleAfter(
      BootTime{0},
      [this, id, process, incarnation = processes_[process].incarnation] {
        if (processes_[process].incarnation != incarnation) return;
        if (IsAgent(process)) {
          Post(process, AgentEvent{EntryLinkClosed{id}});
        } else {
          Post(process, EntryEvent{LinkClosed{id}});
        }
      });
}

void TestPool::Reset(LinkId id, int side) {
  Link& link = links_.at(id);
  if (!link.open[side]) return;
  // Unsent messages are discarded with the connection.
  link.undelivered[side].clear();
  const int from = link.processes[side];
  const int to = link.processes[1 - side];
  // A reset is sent once. If it is lost, the next message brings another.
  if (!IsCut(from, to)) {
    Deliver(id, side, [this, id, side] { ReportClosed(id, 1 - side); });
  }
  if (!IsRunning(from)) link.open[side] = false;
}

void TestPool::CutOneWay(int from, int to, bool is_cut) {
  if (is_cut) {
    cuts_.insert({from, to});
    return;
  }
  cuts_.erase({from, to});
  for (auto& [id, link] : links_) {
    for (const int side : {0, 1}) {
      if (link.processes[side] != from || link.processes[1 - side] != to)
        continue;
      for (const auto& action : std::exchange(link.undelivered[side], {})) {
        Deliver(id, side, action);
      }
    }
  }
}

void TestPool::Cut(int process, int other, bool is_cut) {
  CutOneWay(process, other, is_cut);
  CutOneWay(other, process, is_cut);
}

void TestPool::ResetLinks(int process, int other) {
  std::vector<LinkId> found;
  for (const auto& [id, link] : links_) {
    const bool is_between =
        (link.processes[0] == process && link.processes[1] == other) ||
        (link.processes[0] == other && link.processes[1] == process);
    if (is_between) found.push_back(id);
  }
  for (const LinkId& id : found) {
    ReportClosed(id, 0);
    ReportClosed(id, 1);
  }
}

}  // namespace dottereltrack::testing
