// Processor time of an entry by kind of work, on a virtual clock: decoding of
// frames, decisions and encoding, without sockets and HTTP. The load is that of
// deployment K of docs/design/heavy-load.md at its weakest entry.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/pool/entry/advance.h"
#include "pool_wire/codec.h"

namespace dottereltrack::pool {
namespace {

constexpr int kAgents = 57;
constexpr int kPeers = 8;
constexpr std::int64_t kMinionCpuMillis = 16'000;
constexpr double kJobsPerSecond = 184;
constexpr seconds kDuration{20};
constexpr milliseconds kTick{25};
constexpr milliseconds kClientTimeout{1'500};
constexpr const char* kService = "svc";

struct Queue {
  const char* name;
  double weight;
  std::uint32_t tasks;
  milliseconds duration;
};
constexpr Queue kQueues[] = {{"quote", 206, 8, milliseconds{51}},
                             {"licence", 600, 2, milliseconds{170}},
                             {"confirm", 37.5, 4, milliseconds{760}}};

struct Scenario {
  const char* name;
  // Interval of the load reports of each agent; 0 for none.
  milliseconds report_interval{45};
  double busy_share = 0;
  bool has_jobs = true;
};

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         1e-9 * static_cast<double>(time.tv_nsec);
}

// An entry, and the agents and peers that answer its messages.
class Model {
 public:
  explicit Model(const Scenario& scenario) : scenario_(scenario) {
    now_.boot = seconds{100};
    now_.wall = WallTime{1'800'000'000'000};
    board_.settings.id = 7;
    board_.settings.address = {"10.0.0.1", 7000};
  }

  void Run() {
    Connect();
    const BootTime end = now_.boot + kDuration;
    if (scenario_.has_jobs) ScheduleJob();
    ScheduleTick();
    processor_seconds_ = 0;
    turns_ = 0;
    while (!actions_.empty() && actions_.begin()->first < end) {
      const auto it = actions_.begin();
      now_.wall += std::chrono::duration_cast<WallTime>(it->first) -
                   std::chrono::duration_cast<WallTime>(now_.boot);
      now_.boot = it->first;
      const auto action = std::move(it->second);
      actions_.erase(it);
      action();
    }
    const double jobs = static_cast<double>(std::max<std::uint64_t>(1, jobs_));
    std::printf("%-34s %7.1f %9.1f %9.1f %8.2f\n", scenario_.name,
                1e6 * processor_seconds_ / jobs,
                static_cast<double>(turns_) / jobs,
                static_cast<double>(sent_) / jobs,
                100 * processor_seconds_ /
                    std::chrono::duration<double>(kDuration).count());
  }

 private:
  void Connect() {
    std::vector<QueueConfig> queues;
    for (const Queue& it : kQueues) {
      QueueConfig queue;
      queue.name = it.name;
      queue.host = "h";
      queue.path_prefix = std::string("/") + it.name + "/";
      queue.service = kService;
      queue.stretch = 1.6;
      queue.target_latency = milliseconds{60};
      queues.push_back(queue);
    }
    Turn({ConfigRead{PoolConfig{1, std::move(queues)}, std::string("config")}});
    for (int n = 0; n < kAgents; ++n) {
      const LinkId link{static_cast<std::uint64_t>(n + 1)};
      free_[link] = kMinionCpuMillis;
      AgentHello hello;
      hello.agent = link.value;
      hello.minion = "m" + std::to_string(n);
      hello.service = kService;
      hello.capacity = {kMinionCpuMillis, 32'000, 0};
      Receive(link, hello);
      Receive(link, MakeReport(link));
      if (scenario_.report_interval.count() > 0) ScheduleReport(link);
    }
    for (int n = 0; n < kPeers; ++n) {
      const Endpoint address{"10.0.0." + std::to_string(n + 2), 7000};
      const LinkId link{static_cast<std::uint64_t>(1'000 + n)};
      Turn({EntriesListed{{address}}, PeerDialed{address, link}});
    }
  }

  void Schedule(BootTime delay, std::function<void()> action) {
    actions_.emplace(now_.boot + delay, std::move(action));
  }

  void ScheduleJob() {
    std::exponential_distribution<double> gap(kJobsPerSecond);
    Schedule(BootTime{static_cast<std::int64_t>(1e6 * gap(random_))}, [this] {
      Submit();
      ScheduleJob();
    });
  }

  void ScheduleTick() {
    Schedule(kTick, [this] {
      std::vector<EntryEvent> events;
      for (const auto& [link, row] : board_.links) {
        // Pings of the other side, where nothing else is sent.
        if (now_.boot - row.last_received_at >= milliseconds{100}) {
          events.emplace_back(MessageReceived{link, Ping{}});
        }
      }
      events.emplace_back(
          LoopLoadMeasured{scenario_.busy_share, milliseconds{0}});
      events.emplace_back(EntryTick{});
      Turn(events);
      ScheduleTick();
    });
  }

  void ScheduleReport(LinkId link) {
    const auto jitter = std::uniform_int_distribution<int>(0, 2'000)(random_);
    Schedule(scenario_.report_interval + BootTime{jitter}, [this, link] {
      Receive(link, MakeReport(link));
      ScheduleReport(link);
    });
  }

  LoadReport MakeReport(LinkId link) {
    LoadReport report;
    report.handled_starts = handled_[link];
    report.free = {free_[link], 32'000, 0};
    report.accepting = true;
    report.settled = true;
    return report;
  }

  void Submit() {
    std::discrete_distribution<int> pick(
        {kQueues[0].weight, kQueues[1].weight, kQueues[2].weight});
    const Queue& queue = kQueues[pick(random_)];
    JobSpec job;
    job.id = random_();
    job.payload = std::string(64, 'p');
    job.steps = {{queue.tasks, {1'300, 64, 0}, queue.duration}};
    ++jobs_;
    Turn({JobSubmitted{{++calls_},
                       "request-0123456789",
                       "h",
                       std::string("/") + queue.name + "/0123456789abcdef",
                       job,
                       kClientTimeout}});
  }

  void Receive(LinkId link, const Message& message) {
    const std::string frame = EncodeFrame(message);
    const double begin = ProcessorSeconds();
    auto decoded = DecodeFrame(frame);
    processor_seconds_ += ProcessorSeconds() - begin;
    Turn({MessageReceived{link, std::move(decoded.value())}});
  }

  // Handles the events and encodes the messages that they cause.
  void Turn(const std::vector<EntryEvent>& events) {
    const double begin = ProcessorSeconds();
    const auto effects = Advance(&board_, events, now_);
    std::size_t bytes = 0;
    for (const EntryEffect& effect : effects) {
      if (const auto* it = std::get_if<SendMessage>(&effect)) {
        bytes += EncodeFrame(it->message).size();
        ++sent_;
      }
    }
    processor_seconds_ += ProcessorSeconds() - begin;
    ++turns_;
    bytes_ += bytes;
    for (const EntryEffect& effect : effects) {
      if (const auto* it = std::get_if<SendMessage>(&effect)) Answer(*it);
    }
  }

  void Answer(const SendMessage& sent) {
    const LinkId link = sent.link;
    if (const auto* start = std::get_if<StartRun>(&sent.message)) {
      free_[link] -= start->needs.cpu_millis;
      handled_[link] = start->sequence;
      Schedule(start->estimate, [this, link, start = *start] {
        free_[link] += start.needs.cpu_millis;
        Receive(link, RunEnded{start.run, RunEnd::kDone, start.estimate});
      });
    } else if (const auto* job = std::get_if<ForwardJob>(&sent.message)) {
      Schedule(job->job.steps[0].estimate, [this, link, id = job->job.id] {
        ++forwarded_[link];
        Receive(link, ForwardedJobEnded{id, ForwardedOutcome::kCompleted});
      });
    } else if (const auto* load = std::get_if<EntryLoad>(&sent.message)) {
      if (!load->is_overloaded) return;
      Schedule(milliseconds{2}, [this, link] {
        EntryLoad offer;
        offer.offered_jobs = 1U << 30;
        Receive(link, offer);
      });
    }
  }

  Scenario scenario_;
  EntryBoard board_;
  Now now_;
  std::mt19937_64 random_{1};
  std::multimap<BootTime, std::function<void()>> actions_;
  std::map<LinkId, std::int64_t> free_;
  std::map<LinkId, std::uint64_t> handled_;
  std::map<LinkId, std::uint64_t> forwarded_;
  std::uint64_t calls_ = 0;
  std::uint64_t jobs_ = 0;
  std::uint64_t turns_ = 0;
  std::uint64_t sent_ = 0;
  std::size_t bytes_ = 0;
  double processor_seconds_ = 0;
};

}  // namespace
}  // namespace dottereltrack::pool

int main() {
  using dottereltrack::milliseconds;
  using dottereltrack::pool::Model;
  using dottereltrack::pool::Scenario;
  std::printf("%-34s %7s %9s %9s %8s\n", "scenario", "us/job", "turns/job",
              "sent/job", "% of cpu");
  const Scenario scenarios[] = {
      {"idle, no reports", milliseconds{0}, 0, false},
      {"reports every 45 ms, no jobs", milliseconds{45}, 0, false},
      {"jobs, reports every 45 ms", milliseconds{45}, 0, true},
      {"jobs, reports every 150 ms", milliseconds{150}, 0, true},
      {"jobs forwarded, every 45 ms", milliseconds{45}, 1, true},
      {"jobs forwarded, every 300 ms", milliseconds{300}, 1, true}};
  for (const Scenario& it : scenarios) Model(it).Run();
  return 0;
}
