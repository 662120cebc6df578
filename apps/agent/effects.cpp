// Decodes incoming frames and executes the effects of the agent's decision
// logic.

#include <utility>

#include "apps/agent/agent_process.h"
#include "apps/agent/attempts.h"
#include "apps/agent/frames.h"
#include "dottereltrack/wire.h"

namespace dottereltrack {
namespace {

// Time for the links to send queued frames before the process exits. Frames are
// written in the loop iteration after the one that queues them; the rest of the
// time covers a full send buffer.
constexpr milliseconds kExitFlushDelay{100};

}  // namespace

void AgentProcess::OnFrame(LinkId link, const std::string& frame) {
  auto message = DecodeToAgent(frame);
  if (message) {
    Post(EntryMessageReceived{link, std::move(message.value())});
    return;
  }
  const WireError& error = message.error();
  if (error.kind == WireErrorKind::kUnknownMessageKind) {
    Log(LogPart::kLinks, LogLevel::kDebug,
        "ignoring message of unknown kind: " + error.message);
    return;
  }
  Log(LogPart::kLinks, LogLevel::kWarning,
      "closing link after an invalid frame: " + error.message);
  links_.Close(link);
}

void AgentProcess::Execute(const SendToEntry& effect) {
  const FrameList list = EncodeFrames(effect.message);
  for (const std::string& frame : list.frames) links_.Send(effect.link, frame);
  if (list.all_fit) return;
  Log(LogPart::kLinks, LogLevel::kError,
      "message not sent: it exceeds the frame limit; lower "
      "max_inventory_bytes");
}

void AgentProcess::Execute(const StartOnMinion& effect) {
  const TaskStart& start = effect.start;
  const TaskId task = start.id;
  const auto target = minion_targets_.find(start.minion_instance);
  if (target == minion_targets_.end()) {
    Post(AttemptEnded{task, AttemptEnd::kNotStarted,
                      std::string("the minion instance is not announced"),
                      microseconds{0}});
    return;
  }
  const BootTime started_at = BootNow();
  attempt_calls_[task] =
      minion_client_.Start(MakeAttemptCall(start, target->second),
                           [this, task, started_at](HttpResult it) {
                             OnAttemptEnded(task, std::move(it), started_at);
                           });
}

void AgentProcess::OnAttemptEnded(const TaskId& task, HttpResult result,
                                  BootTime started_at) {
  attempt_calls_.erase(task);
  AttemptEnded ended =
      MakeAttemptEnded(task, std::move(result), BootNow() - started_at);
  if (ended.end == AttemptEnd::kNotStarted ||
      ended.end == AttemptEnd::kUnknown) {
    Log(LogPart::kMinion, LogLevel::kWarning,
        "request to the minion failed: " + *ended.output);
  }
  Post(std::move(ended));
}

void AgentProcess::Execute(const AbortOnMinion& effect) {
  const auto attempt = attempt_calls_.find(effect.task);
  if (attempt == attempt_calls_.end()) return;
  minion_client_.Cancel(attempt->second);
  attempt_calls_.erase(attempt);
  Post(AttemptEnded{effect.task, AttemptEnd::kUnknown,
                    std::string("abandoned while it ran"), microseconds{0}});
}

void AgentProcess::Execute(const DialEntry& effect) {
  const Endpoint address = effect.address;
  links_.Dial(address, [this, address](std::optional<LinkId> link) {
    if (link) {
      Post(EntryDialed{address, *link});
    } else {
      Post(EntryDialFailed{address});
    }
  });
}

void AgentProcess::Execute(const CloseEntryLink& effect) {
  links_.Close(effect.link);
}

void AgentProcess::Execute(const ExitAgent&) {
  if (!event_queue_.Stop()) return;
  http_server_.StopListening();
  tick_timer_.cancel();
  http_server_.NotifyWhenAllSent([this] {
    exit_timer_.expires_after(kExitFlushDelay);
    exit_timer_.async_wait([this](const asio::error_code&) {
      Log(LogPart::kMain, LogLevel::kInfo, "stopped");
      loop_.stop();
    });
  });
}

}  // namespace dottereltrack
