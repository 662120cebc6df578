// The connections of a TestCell.

#include <algorithm>
#include <utility>

#include "support/test_cell.h"

namespace dottereltrack::testing {

void TestCell::CutEnds(int end, int other) {
  for (auto& [id, link] : links_) {
    const bool between = (link.from == end && link.to == other) ||
                         (link.to == end && link.from == other);
    if (between && link.open) {
      CloseOne(id, end);
      CloseOne(id, other);
    }
  }
}

void TestCell::Block(int end, int other, bool blocked) {
  if (blocked) {
    blocked_.insert({end, other});
    blocked_.insert({other, end});
    CutEnds(end, other);
  } else {
    blocked_.erase({end, other});
    blocked_.erase({other, end});
  }
}

void TestCell::Stall(int end, int other, BootTime until) {
  for (auto& [id, link] : links_) {
    const bool between = (link.from == end && link.to == other) ||
                         (link.to == end && link.from == other);
    if (!between || !link.open) continue;
    for (BootTime& last : link.last_delivery) last = std::max(last, until);
  }
}

void TestCell::Deliver(int from_end, LinkId link, EntryToAgent message) {
  tally_ = CountMessage(tally_, message);
  DeliverBy(from_end, link, [this, link, message](int to_end) {
    PostToAgent(to_end - entry_count(), EntryMessageReceived{link, message});
  });
}

void TestCell::Deliver(int from_end, LinkId link, EntryToEntry message) {
  tally_ = CountMessage(tally_, message);
  DeliverBy(from_end, link, [this, link, message](int to_end) {
    PostToEntry(to_end, PeerSays{link, message});
  });
}

void TestCell::Deliver(int from_end, LinkId link, AgentToEntry message) {
  tally_ = CountMessage(tally_, message);
  DeliverBy(from_end, link, [this, link, message](int to_end) {
    PostToEntry(to_end, AgentSays{link, message});
  });
}

void TestCell::DeliverBy(int from_end, LinkId id,
                         std::function<void(int to_end)> action) {
  const auto it = links_.find(id);
  if (it == links_.end() || !it->second.open) return;
  Link& link = it->second;
  ++messages_;
  const int direction = link.from == from_end ? 0 : 1;
  const int to_end = direction == 0 ? link.to : link.from;
  const BootTime at = std::max(now() + DelayBetween(link.from, link.to),
                               link.last_delivery[direction]);
  link.last_delivery[direction] = at;
  clock_.ScheduleAt(at, [this, id, to_end, action] {
    const Link& now_link = links_.at(id);
    const std::uint64_t expected = now_link.to == to_end
                                       ? now_link.to_incarnation
                                       : now_link.from_incarnation;
    if (IncarnationOf(to_end) == expected && IsAlive(to_end)) action(to_end);
  });
}

LinkId TestCell::OpenLink(int from_end, int to_end) {
  const LinkId id{next_id_++};
  Link link;
  link.from = from_end;
  link.to = to_end;
  link.from_incarnation = IncarnationOf(from_end);
  link.to_incarnation = IncarnationOf(to_end);
  links_.emplace(id, link);
  return id;
}

void TestCell::CloseLinksOf(int end) {
  for (auto& [id, link] : links_) {
    const bool ours =
        (link.from == end && link.from_incarnation == IncarnationOf(end)) ||
        (link.to == end && link.to_incarnation == IncarnationOf(end));
    if (ours && link.open) CloseOne(id, end);
  }
}

void TestCell::CloseOne(LinkId id, int closed_by) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.open = false;
  const int other = link.from == closed_by ? link.to : link.from;
  const std::uint64_t expected =
      link.from == closed_by ? link.to_incarnation : link.from_incarnation;
  const int direction = link.from == closed_by ? 0 : 1;
  const BootTime at = std::max(now() + DelayBetween(link.from, link.to),
                               link.last_delivery[direction]);
  clock_.ScheduleAt(at, [this, id, other, expected] {
    if (IncarnationOf(other) != expected) return;
    if (IsAgentEnd(other)) {
      PostToAgent(other - entry_count(), EntryLinkClosed{id});
    } else {
      PostToEntry(other, LinkClosed{id});
    }
  });
}

void TestCell::Dial(int from_end, const Endpoint& address,
                    std::function<void(bool, LinkId)> done) {
  const std::uint64_t incarnation = IncarnationOf(from_end);
  const int to_end = address.port;
  const BootTime at = now() + 2 * DelayBetween(from_end, to_end);
  clock_.ScheduleAt(at, [this, from_end, to_end, incarnation, done] {
    if (IncarnationOf(from_end) != incarnation || !IsAlive(from_end)) return;
    const bool blocked = blocked_.count({from_end, to_end}) != 0;
    if (!IsAlive(to_end) || blocked) return done(false, LinkId{});
    done(true, OpenLink(from_end, to_end));
  });
}

}  // namespace dottereltrack::testing
