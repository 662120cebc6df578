// Carries out what the decisions of an agent ask for.

#include <utility>

#include "apps/agent/agent_process.h"
#include "apps/agent/attempts.h"
#include "apps/agent/frames.h"
#include "dottereltrack/wire.h"

namespace dottereltrack {
namespace {

// Frames leave in the turn of the loop after the one that sends them; the wait
// covers a full send buffer.
constexpr milliseconds kLastFramesWait{100};

}  // namespace

void AgentProcess::OnFrame(LinkId link, const std::string& frame) {
  auto message = DecodeToAgent(frame);
  if (message) {
    Post(EntryMessageReceived{link, std::move(message.value())});
    return;
  }
  const WireError& error = message.error();
  if (error.kind == WireErrorKind::kUnknownMessageKind) {
    Log(LogPart::kLinks, LogLevel::kDebug, "message ignored: " + error.message);
    return;
  }
  Log(LogPart::kLinks, LogLevel::kWarning, "link closed: " + error.message);
  links_.Close(link);
}

void AgentProcess::Do(const SendToEntry& effect) {
  const FrameList list = FramesOf(effect.message);
  for (const std::string& frame : list.frames) links_.Send(effect.link, frame);
  if (list.fits) return;
  Log(LogPart::kLinks, LogLevel::kError,
      "a message exceeds the frame limit and is not sent; lower "
      "max_inventory_bytes");
}

void AgentProcess::Do(const StartOnMinion& effect) {
  const TaskStart& start = effect.start;
  const TaskId task = start.id;
  const auto target = targets_.find(start.minion_instance);
  if (target == targets_.end()) {
    Post(AttemptEnded{task, AttemptEnd::kNotStarted,
                      std::string("the minion instance is not announced"),
                      microseconds{0}});
    return;
  }
  const BootTime started_at = BootNow();
  attempts_[task] = minion_.Start(CallOf(start, target->second),
                                  [this, task, started_at](HttpResult it) {
                                    EndAttempt(task, std::move(it), started_at);
                                  });
}

void AgentProcess::EndAttempt(const TaskId& task, HttpResult result,
                              BootTime started_at) {
  attempts_.erase(task);
  AttemptEnded ended = EndOf(task, std::move(result), BootNow() - started_at);
  if (ended.end == AttemptEnd::kNotStarted ||
      ended.end == AttemptEnd::kUnknown) {
    Log(LogPart::kMinion, LogLevel::kWarning,
        "task not ended: " + *ended.output);
  }
  Post(std::move(ended));
}

void AgentProcess::Do(const AbortOnMinion& effect) {
  const auto attempt = attempts_.find(effect.task);
  if (attempt == attempts_.end()) return;
  minion_.Cancel(attempt->second);
  attempts_.erase(attempt);
  Post(AttemptEnded{effect.task, AttemptEnd::kUnknown,
                    std::string("abandoned while it ran"), microseconds{0}});
}

void AgentProcess::Do(const DialEntry& effect) {
  const Endpoint address = effect.address;
  links_.Dial(address, [this, address](std::optional<LinkId> link) {
    if (link) {
      Post(EntryDialed{address, *link});
    } else {
      Post(EntryDialFailed{address});
    }
  });
}

void AgentProcess::Do(const CloseEntryLink& effect) {
  links_.Close(effect.link);
}

void AgentProcess::Do(const ExitAgent&) {
  if (!turns_.Stop()) return;
  http_.StopListening();
  tick_.cancel();
  http_.WhenSent([this] {
    exit_timer_.expires_after(kLastFramesWait);
    exit_timer_.async_wait([this](const asio::error_code&) {
      Log(LogPart::kMain, LogLevel::kInfo, "stopped");
      loop_.stop();
    });
  });
}

}  // namespace dottereltrack
