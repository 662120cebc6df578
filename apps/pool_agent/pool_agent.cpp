#include "apps/pool_agent/pool_agent.h"

#include <csignal>
#include <utility>

#include "apps/pool_agent/state_dump.h"
#include "apps/pool_common/reception.h"
#include "core/pool/agent/capacity.h"
#include "core/pool/pause.h"
#include "platform/minion.h"
#include "pool_wire/codec.h"
#include "runtime/clock.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack::pool {
namespace {

using users_platform::MinionCallKind;

constexpr milliseconds kTickInterval{25};

// Duration of one watch of the entries. It can be long because linked entries
// also pass on the addresses of new entries.
constexpr milliseconds kEntryWatchWait{10'000};
constexpr milliseconds kEntryWatchRetryDelay{500};

// Time for the links to send queued messages before the process exits.
constexpr milliseconds kExitFlushDelay{50};

// At most 256 calls in flight and 16 kept connections: enough for a status poll
// and for the starts and stops of a few jobs at once. The minion accepts 64
// connections.
HttpClientLimits MinionClientLimits() { return {256, 16}; }

std::vector<Gauge> MakeGauges(const AgentBoard& board) {
  return {{"dottereltrack_agent_runs", "Runs whose end is not known",
           [&board] { return static_cast<double>(board.runs.size()); }},
          {"dottereltrack_agent_free_cores", "Free cores of the minion",
           [&board] {
             return static_cast<double>(FreeResources(board).cpu_millis) /
                    1'000;
           }},
          {"dottereltrack_agent_entries", "Entries with a link",
           [&board] { return static_cast<double>(board.links.size()); }},
          {"dottereltrack_agent_usable_share",
           "Share of the minion's capacity that its evacuation leaves usable",
           [&board] {
             return CurrentUsableShare(board, {BootNow(), WallNow(), 0});
           }},
          {"dottereltrack_agent_config_version",
           "Version of the configuration that is kept for entries",
           [&board] { return static_cast<double>(board.kept_config.version); }},
          {"dottereltrack_agent_config_bytes",
           "Size of the configuration that is kept for entries",
           [&board] {
             return static_cast<double>(board.kept_config.text->size());
           }},
          {"dottereltrack_agent_failure_share",
           "Share of failed runs, exponential average",
           [&board] { return board.health.failure_share; }}};
}

AgentBoard MakeBoard(const users_platform::NodeSettings& node_settings) {
  AgentBoard board;
  board.settings.config_transfer.link_mbps = node_settings.link_mbps;
  board.settings.id = RandomId();
  board.fencing_token = WallNow().count();
  return board;
}

}  // namespace

PoolAgent::PoolAgent(asio::io_context& loop, const SettingsFile& file,
                     EventLog& log)
    : loop_(loop),
      node_settings_(file.settings),
      log_(log),
      board_(MakeBoard(node_settings_)),
      links_(loop, InternalLinkLimits(),
             {[this](LinkId link, const std::string& frame) {
                OnFrame(link, frame);
              },
              [this](LinkId link) { Post(EntryLinkClosed{link}); }}),
      report_server_(
          loop, ServerLimits(node_settings_, kMaxReportBytes),
          {[this](const HttpRequest& request, const HttpReplier& reply) {
             reply(OnMinionRequest(request));
           },
           {},
           {}}),
      minion_client_(loop, MinionClientLimits()),
      store_(loop, node_settings_.store_address),
      entry_watch_(
          loop, store_, log,
          {kEntryKeyPrefix, kEntryWatchWait, kEntryWatchRetryDelay,
           &FindAddressProblem},
          [this](const auto& view) {
            Post(EntriesRegistered{ParseEntryAddresses(view)});
          },
          [this](const Decision& refusal) { Execute(refusal); }),
      metrics_(loop, ServerLimits(node_settings_, kMaxReportBytes),
               WithReceptionGauges(loop, MakeGauges(board_)),
               [this] { return DumpState(board_, ReadClocks()); }),
      settings_watch_(loop, file, log,
                      [this](const users_platform::NodeSettings& new_settings) {
                        Post(AgentSeedsRead{new_settings.seeds});
                      }),
      tick_timer_(loop),
      exit_timer_(loop),
      signals_(loop, SIGTERM, SIGINT, SIGHUP),
      event_queue_(loop, [this](std::vector<AgentEvent> events) {
        ProcessEvents(std::move(events));
      }) {}

bool PoolAgent::Start() {
  LimitReception(loop_, node_settings_, kMaxReportBytes,
                 [this](const Decision& it) { Execute(it); });
  if (node_settings_.report_address.port == 0) {
    log_.Write("start_failed",
               {{"problem",
                 "the settings lack the address for reports; run this role on "
                 "a minion's machine"}});
    return false;
  }
  if (!report_server_.Listen(node_settings_.report_address)) {
    log_.Write("start_failed",
               {{"problem",
                 "the address for reports cannot be used; check it and "
                 "whether its port is in use"},
                {"address", ToText(node_settings_.report_address)}});
    return false;
  }
  log_.Write("started", {{"reports", ToText(node_settings_.report_address)},
                         {"data_centre", node_settings_.data_centre},
                         {"seeds", node_settings_.seeds.size()}});
  metrics_.Listen(node_settings_.report_address.host, log_);
  AwaitSignal();
  Post(AgentSeedsRead{node_settings_.seeds});
  entry_watch_.Start();
  settings_watch_.Start();
  Tick();
  return true;
}

void PoolAgent::Post(AgentEvent event) { event_queue_.Post(std::move(event)); }

void PoolAgent::ProcessEvents(std::vector<AgentEvent> events) {
  const Now now = ReadClocks();
  const milliseconds pause = PauseDuration(
      std::exchange(last_iteration_at_, now.boot), now.boot, kTickInterval);
  if (pause.count() > 0) events.insert(events.begin(), AgentPaused{pause});
  const auto effects = Advance(&board_, events, now);
  for (const AgentEffect& effect : effects) {
    std::visit([this](const auto& it) { Execute(it); }, effect);
  }
}

void PoolAgent::Tick() {
  Post(AgentTick{});
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Tick();
  });
}

void PoolAgent::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& ec, int signal) {
    if (ec) return;
    if (signal == SIGHUP) {
      settings_watch_.Reload();
    } else {
      Post(AgentStopRequested{});
    }
    AwaitSignal();
  });
}

Now PoolAgent::ReadClocks() const { return {BootNow(), WallNow(), 0}; }

void PoolAgent::OnFrame(LinkId link, const std::string& frame) {
  auto message = DecodeFrame(frame);
  if (!message) {
    Execute(MakeRefusal("frame_refused", message.error().message));
    return links_.Abort(link);
  }
  Post(EntryMessage{link, std::move(message.value())});
}

HttpResponse PoolAgent::OnMinionRequest(const HttpRequest& request) {
  const auto call = users_platform::ParseMinionCall(request);
  if (!call) {
    HttpResponse unknown;
    unknown.status = 404;
    return unknown;
  }
  if (call->kind == MinionCallKind::kLeave) {
    Post(MinionLeft{call->instance});
    return users_platform::AcceptedReportResponse();
  }
  auto report = users_platform::ParseMinionReport(call->instance, request.body);
  if (!report) {
    Decision refusal = MakeRefusal("report_refused", report.error().message);
    refusal.texts.emplace_back("minion", call->instance);
    Execute(refusal);
    return users_platform::MalformedReportResponse(report.error());
  }
  if (!node_settings_.service.empty() &&
      report.value().service != node_settings_.service) {
    Execute(Decision{Severity::kFailure,
                     "report_ignored",
                     0,
                     {{"minion", call->instance},
                      {"service", report.value().service},
                      {"reason", "another service than this machine's"}},
                     {}});
    return users_platform::AcceptedReportResponse();
  }
  Post(MinionReported{std::move(report.value())});
  return users_platform::AcceptedReportResponse();
}

void PoolAgent::Execute(const SendToEntry& effect) {
  links_.Send(effect.link, EncodeFrame(effect.message));
}

void PoolAgent::Execute(const DialEntry& effect) {
  links_.Dial(effect.address,
              [this, address = effect.address](std::optional<LinkId> link) {
                Post(EntryDialed{address, link});
              });
}

void PoolAgent::Execute(const AbortEntryLink& effect) {
  links_.Abort(effect.link);
}

void PoolAgent::Execute(const CallStart& effect) {
  minion_client_.Start(
      users_platform::MakeHttpCall(effect),
      [this, run = effect.run](const HttpResult& result) {
        Post(StartAnswered{run, users_platform::ParseCallAnswer(result),
                           users_platform::DescribeAnswer(result)});
      });
}

void PoolAgent::Execute(const CallStop& effect) {
  minion_client_.Start(
      users_platform::MakeHttpCall(effect),
      [this, run = effect.run,
       token = effect.fencing_token](const HttpResult& result) {
        Post(StopAnswered{run, users_platform::ParseCallAnswer(result),
                          users_platform::DescribeAnswer(result), token});
      });
}

void PoolAgent::Execute(const CallPoll& effect) {
  minion_client_.Start(
      users_platform::MakeHttpCall(effect),
      [this, sequence = effect.sequence](const HttpResult& result) {
        Post(users_platform::ParseLookAnswer(sequence, result));
      });
}

void PoolAgent::Execute(const ExitAgent&) {
  event_queue_.Stop();
  log_.Write("stopped", {{"runs", board_.runs.size()}});
  exit_timer_.expires_after(kExitFlushDelay);
  exit_timer_.async_wait([this](const asio::error_code&) { loop_.stop(); });
}

void PoolAgent::Execute(const Decision& effect) {
  metrics_.Count(effect);
  LogDecision(&log_, effect);
}

}  // namespace dottereltrack::pool
