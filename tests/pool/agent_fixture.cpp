#include "pool/agent_fixture.h"

namespace dottereltrack::pool {

RunKey MakeRunKey(std::uint32_t task, std::uint64_t number) {
  return {{1, 0, task}, number};
}

MinionReport MakeMinionReport(const std::string& id, std::uint64_t started_ms,
                              std::uint64_t sequence) {
  MinionReport report;
  report.id = id;
  report.started_ms = started_ms;
  report.address = {"10.0.0.1", 9000};
  report.service = "menus";
  report.capacity = kMinionCapacity;
  report.sequence = sequence;
  report.clock_ms = 50'000;
  return report;
}

AgentFixture::AgentFixture() {
  now.boot = seconds{100};
  now.wall = WallTime{1'000'000};
  board.settings.id = 3;
  board.fencing_token = 10;
  Step({MinionReported{MakeMinionReport("m1", 1'000, 1)}});
  AnswerPoll({}, {});
}

std::vector<AgentEffect> AgentFixture::Step(std::vector<AgentEvent> events) {
  return Advance(&board, events, now);
}

std::vector<AgentEffect> AgentFixture::AdvanceTime(milliseconds time) {
  now.boot += time;
  now.wall += time;
  std::vector<AgentEvent> events;
  for (const auto& [id, link] : board.links) {
    events.emplace_back(EntryMessage{id, Ping{}});
  }
  events.emplace_back(AgentTick{});
  return Step(std::move(events));
}

void AgentFixture::AddEntry(std::uint64_t link, std::uint64_t entry) {
  const Endpoint address{"10.0.1." + std::to_string(link), 7000};
  Step({AgentSeedsRead{{address}}});
  Step({EntryDialed{address, LinkId{link}},
        EntryMessage{{link}, EntryHello{entry, {}}}});
}

std::vector<AgentEffect> AgentFixture::Start(std::uint64_t link,
                                             const RunKey& run) {
  const auto* row = board.links.Find({link});
  const std::uint64_t sequence = row == nullptr ? 1 : row->handled_starts + 1;
  return Step({EntryMessage{{link},
                            StartRun{sequence, run, std::string("payload"),
                                     kTaskNeeds, milliseconds{100}}}});
}

std::vector<AgentEffect> AgentFixture::AnswerPoll(
    std::vector<ListedRun> running, std::vector<ListedEnd> ended) {
  PollAnswered answer;
  answer.sequence = board.poll.sequence;
  answer.answer = CallAnswer::kAccepted;
  answer.clock_ms = 50'000;
  answer.started_ms = board.minion->started_ms;
  answer.running = std::move(running);
  answer.ended = std::move(ended);
  return Step({answer});
}

std::vector<AgentEffect> AgentFixture::FailPoll(CallAnswer answer) {
  PollAnswered failed;
  failed.sequence = board.poll.sequence;
  failed.answer = answer;
  return Step({failed});
}

}  // namespace dottereltrack::pool
