// Implements the simulated connections of TestCell.

#include <algorithm>
#include <utility>

#include "support/test_cell.h"

namespace dottereltrack::testing {

void TestCell::CutLinksBetween(int process, int other_process) {
  for (auto& [id, link] : links_) {
    const bool connects_both =
        (link.from == process && link.to == other_process) ||
        (link.to == process && link.from == other_process);
    if (connects_both && link.open) {
      CloseLinkFrom(id, process);
      CloseLinkFrom(id, other_process);
    }
  }
}

void TestCell::Block(int process, int other_process, bool blocked) {
  if (blocked) {
    blocked_.insert({process, other_process});
    blocked_.insert({other_process, process});
    CutLinksBetween(process, other_process);
  } else {
    blocked_.erase({process, other_process});
    blocked_.erase({other_process, process});
  }
}

void TestCell::Stall(int process, int other_process, BootTime until) {
  for (auto& [id, link] : links_) {
    const bool connects_both =
        (link.from == process && link.to == other_process) ||
        (link.to == process && link.from == other_process);
    if (!connects_both || !link.open) continue;
    for (BootTime& last : link.last_delivery) last = std::max(last, until);
  }
}

void TestCell::Deliver(int source, LinkId link, EntryToAgent message) {
  tally_ = CountMessage(tally_, message);
  DeliverOverLink(source, link, [this, link, message](int target) {
    PostToAgent(target - entry_count(), EntryMessageReceived{link, message});
  });
}

void TestCell::Deliver(int source, LinkId link, EntryToEntry message) {
  tally_ = CountMessage(tally_, message);
  DeliverOverLink(source, link, [this, link, message](int target) {
    PostToEntry(target, PeerMessageReceived{link, message});
  });
}

void TestCell::Deliver(int source, LinkId link, AgentToEntry message) {
  tally_ = CountMessage(tally_, message);
  DeliverOverLink(source, link, [this, link, message](int target) {
    PostToEntry(target, AgentMessageReceived{link, message});
  });
}

void TestCell::DeliverOverLink(int source, LinkId id,
                               std::function<void(int target)> action) {
  const auto it = links_.find(id);
  if (it == links_.end() || !it->second.open) return;
  Link& link = it->second;
  ++messages_;
  const int direction = link.from == source ? 0 : 1;
  const int target = direction == 0 ? link.to : link.from;
  const BootTime at = std::max(now() + DelayBetween(link.from, link.to),
                               link.last_delivery[direction]);
  link.last_delivery[direction] = at;
  clock_.ScheduleAt(at, [this, id, target, action] {
    const Link& current_link = links_.at(id);
    const std::uint64_t expected = current_link.to == target
                                       ? current_link.to_incarnation
                                       : current_link.from_incarnation;
    if (IncarnationOf(target) == expected && IsAlive(target)) action(target);
  });
}

LinkId TestCell::OpenLink(int source, int target) {
  const LinkId id{next_id_++};
  Link link;
  link.from = source;
  link.to = target;
  link.from_incarnation = IncarnationOf(source);
  link.to_incarnation = IncarnationOf(target);
  links_.emplace(id, link);
  return id;
}

void TestCell::CloseLinksOf(int process) {
  for (auto& [id, link] : links_) {
    const bool is_current =
        (link.from == process &&
         link.from_incarnation == IncarnationOf(process)) ||
        (link.to == process && link.to_incarnation == IncarnationOf(process));
    if (is_current && link.open) CloseLinkFrom(id, process);
  }
}

void TestCell::CloseLinkFrom(LinkId id, int closed_by) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.open = false;
  const int other_process = link.from == closed_by ? link.to : link.from;
  const std::uint64_t expected =
      link.from == closed_by ? link.to_incarnation : link.from_incarnation;
  const int direction = link.from == closed_by ? 0 : 1;
  const BootTime at = std::max(now() + DelayBetween(link.from, link.to),
                               link.last_delivery[direction]);
  clock_.ScheduleAt(at, [this, id, other_process, expected] {
    if (IncarnationOf(other_process) != expected) return;
    if (IsAgentProcess(other_process)) {
      PostToAgent(other_process - entry_count(), EntryLinkClosed{id});
    } else {
      PostToEntry(other_process, LinkClosed{id});
    }
  });
}

void TestCell::Dial(int source, const Endpoint& address,
                    std::function<void(bool, LinkId)> done) {
  const std::uint64_t incarnation = IncarnationOf(source);
  const int target = address.port;
  const BootTime at = now() + 2 * DelayBetween(source, target);
  clock_.ScheduleAt(at, [this, source, target, incarnation, done] {
    if (IncarnationOf(source) != incarnation || !IsAlive(source)) return;
    const bool blocked = blocked_.count({source, target}) != 0;
    if (!IsAlive(target) || blocked) return done(false, LinkId{});
    done(true, OpenLink(source, target));
  });
}

}  // namespace dottereltrack::testing
