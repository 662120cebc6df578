#include "apps/agent/agent_process.h"

#include <csignal>
#include <utility>

#include "runtime/http/reception_report.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack {
namespace {

constexpr milliseconds kTickInterval{50};

// A minion has at most 4,096 slots. The limit is twice that because tasks of a
// replaced instance can still be running along with those of the new instance.
constexpr std::size_t kMaxAttempts = 8'192;

AgentBoard MakeBoard(const AgentDaemonSettings& settings) {
  AgentBoard board;
  board.settings = settings.core;
  return board;
}

HttpClientLimits MinionClientLimits() {
  HttpClientLimits limits;
  limits.max_calls = kMaxAttempts;
  return limits;
}

std::string ToText(const Fence& fence) {
  return "generation " + std::to_string(fence.generation) + ", session " +
         std::to_string(fence.session);
}

}  // namespace

AgentProcess::AgentProcess(asio::io_context& loop,
                           const AgentDaemonSettings& settings)
    : loop_(loop),
      settings_(settings),
      board_(MakeBoard(settings)),
      links_(loop, LinkLimits{},
             {[this](LinkId link, const std::string& frame) {
                OnFrame(link, frame);
              },
              [this](LinkId link) { Post(EntryLinkClosed{link}); }}),
      http_server_(
          loop, settings.http,
          {[this](const HttpRequest& request, const HttpReplier& reply) {
             OnHttpRequest(request, reply);
           },
           {},
           {}}),
      minion_client_(loop, MinionClientLimits()),
      tick_timer_(loop),
      exit_timer_(loop),
      signals_(loop, SIGTERM, SIGINT),
      random_(RandomId()),
      event_queue_(loop, [this](const std::vector<AgentEvent>& events) {
        ProcessEvents(events);
      }) {}

bool AgentProcess::Start() {
  LimitReception(loop_, settings_.machine, settings_.http);
  const auto port = http_server_.Listen(settings_.http_listen);
  if (!port) {
    Log(LogPart::kHttp, LogLevel::kError,
        "cannot listen on " + ToText(settings_.http_listen) +
            "; check http_listen and whether the port is in use");
    return false;
  }
  Log(LogPart::kMain, LogLevel::kInfo,
      "agent " + ToHex(board_.settings.id.value) + " listening for HTTP on " +
          ToText(Endpoint{settings_.http_listen.host, *port}));
  AwaitSignal();
  Tick();
  return true;
}

void AgentProcess::Post(AgentEvent event) {
  event_queue_.Post(std::move(event));
}

void AgentProcess::ProcessEvents(const std::vector<AgentEvent>& events) {
  const Fence before = board_.fence;
  const auto effects =
      Advance(&board_, settings_.entry_seeds, events, ReadClocks());
  for (const AgentEffect& effect : effects) {
    std::visit([this](const auto& it) { Execute(it); }, effect);
  }
  if (board_.fence != before) {
    Log(LogPart::kCell, LogLevel::kInfo,
        "now accepting starts from the dispatcher with " +
            ToText(board_.fence));
  }
}

void AgentProcess::Tick() {
  Post(AgentTick{});
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) Tick();
  });
}

void AgentProcess::AwaitSignal() {
  signals_.async_wait([this](const asio::error_code& ec, int) {
    if (ec) return;
    Log(LogPart::kMain, LogLevel::kInfo,
        "stop requested; exiting once all tasks have ended and another agent "
        "holds their records");
    Post(AgentStopRequested{});
    AwaitSignal();
  });
}

Now AgentProcess::ReadClocks() { return {BootNow(), WallNow(), random_()}; }

}  // namespace dottereltrack
