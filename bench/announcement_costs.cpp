// Cost of announcing accepted jobs to peers, by number of peers, for
// docs/CAPACITY.md: an entry on a virtual clock with the load of the large
// deployment, decisions and frames only. Peers that announce nothing send
// pings, as a release without announcements does.

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <vector>

#include "core/pool/entry/accepted_jobs.h"
#include "core/pool/entry/advance.h"
#include "core/pool/mix_bits.h"
#include "pool_wire/codec.h"

namespace dottereltrack::pool {
namespace {

constexpr std::uint64_t kJobsPerSecond = 93;
constexpr seconds kWarmUp{70};
constexpr seconds kDuration{20};
constexpr milliseconds kTick{25};
constexpr milliseconds kPingInterval{100};
constexpr LinkId kAgentLink{1};
constexpr std::uint64_t kFirstDialedLink = 100;
constexpr std::uint64_t kFirstAcceptedLink = 200;

struct Scenario {
  const char* entries;
  std::uint64_t peers = 0;
  bool has_announcements = false;
};

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

// Durations of the runs, with the share of jobs as on the large deployment.
struct JobKind {
  double share = 0;
  milliseconds duration{0};
};
constexpr JobKind kJobKinds[] = {{0.25, milliseconds{60}},
                                 {0.95, milliseconds{200}},
                                 {1.0, milliseconds{900}}};

milliseconds DurationOf(std::uint64_t job) {
  const double rank = static_cast<double>(DigestOf(job)) / 4'294'967'296.0;
  for (const JobKind& kind : kJobKinds) {
    if (rank < kind.share) return kind.duration;
  }
  return kJobKinds[0].duration;
}

// An entry, its peers and an agent that has room for all runs.
class Model {
 public:
  explicit Model(const Scenario& scenario) : scenario_(scenario) {
    now_.boot = seconds{100};
    now_.wall = WallTime{1'800'000'000'000};
    board_.settings.address = {"10.0.0.1", 7000};
  }

  void Run() {
    Connect();
    RunFor(kWarmUp);
    bytes_to_peers_ = 0;
    messages_to_peers_ = 0;
    const double begin = ProcessorSeconds();
    RunFor(kDuration);
    const double processor_seconds = ProcessorSeconds() - begin;
    const auto run_seconds = static_cast<double>(kDuration.count());
    std::printf("| %s | %s | %.0f | %.1f | %.3f | %zu |\n", scenario_.entries,
                scenario_.has_announcements ? "announced" : "not announced",
                static_cast<double>(messages_to_peers_) / run_seconds,
                static_cast<double>(bytes_to_peers_) / run_seconds / 1'000,
                100 * processor_seconds / run_seconds, CountPeerJobs(board_));
  }

 private:
  void Connect() {
    QueueConfig queue;
    queue.name = "q";
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.service = "svc";
    Step({ConfigRead{{1, {queue}}, std::string("config")}});
    const Resources capacity{64'000, 256'000, 0};
    Receive(kAgentLink, AgentHello{1, "m", "svc", "z", "r", capacity});
    Receive(kAgentLink, LoadReport{0, capacity, true, true});
    for (std::uint64_t n = 0; n < scenario_.peers; ++n) {
      const Endpoint address{"10.0.0." + std::to_string(n + 2), 7000};
      Step({EntriesListed{{address}},
            PeerDialed{address, LinkId{kFirstDialedLink + n}}});
      EntryHello hello{n + 2, {}, {}};
      hello.wants_accepted_jobs = scenario_.has_announcements;
      Receive(LinkId{kFirstAcceptedLink + n}, hello);
    }
  }

  void RunFor(milliseconds time) {
    const BootTime end = now_.boot + time;
    while (now_.boot < end) {
      now_.boot += kTick;
      now_.wall += kTick;
      EndRuns();
      SubmitJobs();
      if (++ticks_ % (kPingInterval / kTick) == 0) ReceiveFromPeers();
      Receive(kAgentLink, Ping{});
      Step({EntryTick{}});
    }
  }

  void SubmitJobs() {
    due_jobs_ += static_cast<double>(kJobsPerSecond) *
                 static_cast<double>(kTick.count()) / 1'000;
    for (; due_jobs_ >= 1; due_jobs_ -= 1) {
      JobSpec job;
      job.id = NextId();
      job.payload = std::string("payload");
      job.steps = {{1, {100, 1, 0}, milliseconds{50}}};
      Step({JobSubmitted{
          {job.id >> 1}, "request", "h", "/q/", job, milliseconds{1'500}}});
    }
  }

  // Each peer accepts as many jobs as this entry.
  void ReceiveFromPeers() {
    for (std::uint64_t n = 0; n < scenario_.peers; ++n) {
      Receive(LinkId{kFirstAcceptedLink + n}, Ping{});
      if (!scenario_.has_announcements) {
        Receive(LinkId{kFirstDialedLink + n}, Ping{});
        continue;
      }
      AcceptedJobs accepted;
      due_digests_ += static_cast<double>(kJobsPerSecond) / 10;
      for (; due_digests_ >= 1; due_digests_ -= 1) {
        accepted.digests.push_back(DigestOf(NextId()));
      }
      Receive(LinkId{kFirstDialedLink + n}, accepted);
    }
  }

  void Receive(LinkId link, const Message& message) {
    Step({MessageReceived{link, DecodeFrame(EncodeFrame(message)).value()}});
  }

  void Step(const std::vector<EntryEvent>& events) {
    for (const EntryEffect& effect : Advance(&board_, events, now_)) {
      const auto* sent = std::get_if<SendMessage>(&effect);
      if (sent == nullptr) continue;
      const std::string frame = EncodeFrame(sent->message);
      if (sent->link.value >= kFirstDialedLink) {
        ++messages_to_peers_;
        bytes_to_peers_ += frame.size() + kLengthBytes;
      }
      if (const auto* start = std::get_if<StartRun>(&sent->message)) {
        ++starts_;
        runs_.emplace(now_.boot + DurationOf(start->run.task.job), start->run);
      }
    }
  }

  void EndRuns() {
    while (!runs_.empty() && runs_.begin()->first <= now_.boot) {
      const RunKey run = runs_.begin()->second;
      runs_.erase(runs_.begin());
      Receive(kAgentLink, RunEnded{run, RunEnd::kDone, milliseconds{50}});
    }
    Receive(kAgentLink, LoadReport{starts_, {64'000, 256'000, 0}, true, true});
  }

  std::uint64_t NextId() { return MixBits(++ids_ * kMixIncrement); }

  static constexpr std::size_t kLengthBytes = 4;

  const Scenario& scenario_;
  EntryBoard board_;
  Now now_;
  std::uint64_t ids_ = 0;
  std::uint64_t starts_ = 0;
  std::multimap<BootTime, RunKey> runs_;
  int ticks_ = 0;
  double due_jobs_ = 0;
  double due_digests_ = 0;
  std::uint64_t messages_to_peers_ = 0;
  std::uint64_t bytes_to_peers_ = 0;
};

}  // namespace
}  // namespace dottereltrack::pool

int main() {
  using dottereltrack::pool::Scenario;
  std::printf(
      "| entries | jobs | messages to peers a second | kB a second | %% of a "
      "core | digests kept |\n|---|---|---|---|---|---|\n");
  // An entry links to at most 16 peers.
  for (const Scenario& it :
       {Scenario{"4", 3, false}, Scenario{"4", 3, true},
        Scenario{"15", 14, false}, Scenario{"15", 14, true},
        Scenario{"60", 16, false}, Scenario{"60", 16, true}}) {
    dottereltrack::pool::Model(it).Run();
  }
  return 0;
}
