// The connections of a TestPool.

#include <algorithm>
#include <utility>

#include "support/test_pool.h"

namespace dottereltrack::testing {
namespace {

using namespace pool;  // NOLINT(google-build-using-namespace)

// As in the daemons.
constexpr milliseconds kDialTimeout{150};

bool IsUseful(const Message& message) {
  if (std::holds_alternative<StartRun>(message)) return true;
  const auto* ended = std::get_if<RunEnded>(&message);
  return ended != nullptr && ended->end == RunEnd::kDone;
}

}  // namespace

void TestPool::Do(int end, const SendMessage& effect) {
  Send(end, effect.link, effect.message);
}

void TestPool::Do(int end, const SendToEntry& effect) {
  Send(end, effect.link, effect.message);
}

void TestPool::Do(int end, const DialPeer& effect) {
  Dial(end, EntryAt(effect.address),
       [this, end, address = effect.address](std::optional<LinkId> link) {
         Post(end, EntryEvent{PeerDialed{address, link}});
       });
}

void TestPool::Do(int end, const DialEntry& effect) {
  Dial(end, EntryAt(effect.address),
       [this, end, address = effect.address](std::optional<LinkId> link) {
         Post(end, AgentEvent{EntryDialed{address, link}});
       });
}

void TestPool::Do(int end, const AbortLink& effect) {
  const auto it = links_.find(effect.link);
  if (it == links_.end()) return;
  const int side = SideOf(it->second, end);
  Reset(effect.link, side);
  ReportClosed(effect.link, side);
}

void TestPool::Do(int end, const AbortEntryLink& effect) {
  Do(end, AbortLink{effect.link});
}

void TestPool::Dial(int from, int to,
                    const std::function<void(std::optional<LinkId>)>& done) {
  const std::uint64_t life = ends_[from].life;
  const BootTime round_trip = 2 * DelayBetween(from, to);
  const bool is_reachable = !IsCut(from, to) && !IsCut(to, from) &&
                            ends_[to].state != ProcessState::kWithoutPower;
  const bool listens = ends_[to].state == ProcessState::kRunning ||
                       ends_[to].state == ProcessState::kFrozen;
  const BootTime wait = is_reachable ? round_trip : BootTime{kDialTimeout};
  clock_.ScheduleAfter(
      wait, [this, from, to, life, done, connects = is_reachable && listens] {
        if (ends_[from].life != life) return;
        const bool is_up = ends_[to].state == ProcessState::kRunning ||
                           ends_[to].state == ProcessState::kFrozen;
        if (!connects || !is_up) return done(std::nullopt);
        const LinkId id{next_id_++};
        Link link;
        link.ends[0] = from;
        link.ends[1] = to;
        links_.emplace(id, std::move(link));
        done(id);
      });
}

void TestPool::Send(int from, LinkId id, const Message& message) {
  ++(IsUseful(message) ? tally_.useful : tally_.wasted);
  if (const auto* ended = std::get_if<RunEnded>(&message)) {
    if (ended->end == RunEnd::kDone) ++tally_.results;
  }
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  const int side = SideOf(it->second, from);
  if (!it->second.open[side]) return;
  Carry(id, side, [this, id, side, message] {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    const Link& link = found->second;
    const int to = link.ends[1 - side];
    const bool has_power = ends_[to].state != ProcessState::kWithoutPower;
    if (link.open[1 - side]) {
      if (IsAgent(to)) {
        Post(to, AgentEvent{EntryMessage{id, message}});
      } else {
        Post(to, EntryEvent{MessageReceived{id, message}});
      }
    } else if (has_power && link.open[side]) {
      // The other side has closed, so its machine answers with a reset.
      Carry(id, 1 - side, [this, id, side] { ReportClosed(id, side); });
    }
  });
}

void TestPool::Carry(LinkId id, int side, const std::function<void()>& action) {
  Link& link = links_.at(id);
  const int from = link.ends[side];
  const int to = link.ends[1 - side];
  if (IsCut(from, to)) {
    link.held[side].push_back(action);
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
  const int end = link.ends[side];
  // In the next turn, as in the daemons.
  clock_.ScheduleAfter(BootTime{0}, [this, id, end, life = ends_[end].life] {
    if (ends_[end].life != life) return;
    if (IsAgent(end)) {
      Post(end, AgentEvent{EntryLinkClosed{id}});
    } else {
      Post(end, EntryEvent{LinkClosed{id}});
    }
  });
}

void TestPool::Reset(LinkId id, int side) {
  Link& link = links_.at(id);
  if (!link.open[side]) return;
  // What waits to be sent is discarded with the connection.
  link.held[side].clear();
  const int from = link.ends[side];
  const int to = link.ends[1 - side];
  // A reset is sent once. If it is lost, the next message brings another.
  if (!IsCut(from, to)) {
    Carry(id, side, [this, id, side] { ReportClosed(id, 1 - side); });
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
      if (link.ends[side] != from || link.ends[1 - side] != to) continue;
      for (const auto& action : std::exchange(link.held[side], {})) {
        Carry(id, side, action);
      }
    }
  }
}

void TestPool::Cut(int end, int other, bool is_cut) {
  CutOneWay(end, other, is_cut);
  CutOneWay(other, end, is_cut);
}

void TestPool::ResetLinks(int end, int other) {
  std::vector<LinkId> found;
  for (const auto& [id, link] : links_) {
    const bool is_between = (link.ends[0] == end && link.ends[1] == other) ||
                            (link.ends[0] == other && link.ends[1] == end);
    if (is_between) found.push_back(id);
  }
  for (const LinkId& id : found) {
    ReportClosed(id, 0);
    ReportClosed(id, 1);
  }
}

}  // namespace dottereltrack::testing
