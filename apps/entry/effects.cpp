// Decodes incoming frames and executes the effects of the entry's decision
// logic.

#include <utility>

#include "apps/entry/entry_process.h"
#include "apps/entry/frames.h"
#include "dottereltrack/wire.h"

namespace dottereltrack {
namespace {

// Time for the links to send queued frames before the process exits. Frames are
// written in the loop iteration after the one that queues them; the rest of the
// time covers a full send buffer.
constexpr milliseconds kExitFlushDelay{100};

}  // namespace

void EntryProcess::OnFrame(LinkId link, const std::string& frame) {
  auto message = DecodeToEntry(frame);
  if (message) {
    std::visit(
        [&](auto& it) {
          using Message = std::decay_t<decltype(it)>;
          if constexpr (std::is_same_v<Message, AgentToEntry>) {
            Post(AgentMessageReceived{link, std::move(it)});
          } else {
            Post(PeerMessageReceived{link, std::move(it)});
          }
        },
        message.value());
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

void EntryProcess::Execute(const SendToAgent& effect) {
  if (const auto* starts = std::get_if<Starts>(&effect.message)) {
    ObserveStartDelays(*starts);
  }
  if (auto frame = EncodeFrame(effect.message)) {
    links_.Send(effect.link, std::move(*frame));
  }
}

void EntryProcess::Execute(const SendToPeer& effect) {
  if (auto frame = EncodeFrame(effect.message)) {
    links_.Send(effect.link, std::move(*frame));
  }
}

void EntryProcess::Execute(const ReplyToCaller& effect) {
  AnswerCall(effect.call, effect.reply);
}

void EntryProcess::Execute(const ReplyToOperator& effect) {
  AnswerCall(effect.call, RenderOperatorReply(effect.reply));
}

void EntryProcess::Execute(const DialPeer& effect) {
  const EntryId peer = effect.peer;
  links_.Dial(effect.address, [this, peer](std::optional<LinkId> link) {
    if (link) {
      Post(PeerDialed{*link, peer});
    } else {
      Post(PeerDialFailed{peer});
    }
  });
}

void EntryProcess::Execute(const CloseLink& effect) {
  links_.Close(effect.link);
}

void EntryProcess::Execute(const ReadTable&) {
  store_.read_table([this](const std::optional<StoredTable>& table) {
    if (table) {
      Post(TableObserved{*table});
    } else {
      Post(StoreReadFailed{});
    }
  });
}

void EntryProcess::Execute(const ReadConfig&) {
  store_.read_config([this](const std::optional<StoredConfig>& config) {
    if (config) Post(ConfigObserved{*config});
  });
}

void EntryProcess::Execute(const WriteTable& effect) {
  store_.write_table(effect.expected_revision, effect.table,
                     [this](const WriteResult& result) {
                       Post(TableWritten{result.status, result.revision});
                     });
}

void EntryProcess::Execute(const WriteConfig& effect) {
  const CallId call = effect.call;
  store_.write_config(
      effect.expected_revision, effect.config,
      [this, call](const WriteResult& result) {
        Post(ConfigWritten{call, result.status, result.revision});
      });
}

void EntryProcess::Execute(const ExitProcess&) {
  if (!event_queue_.Stop()) return;
  http_server_.StopListening();
  table_watch_->Stop();
  config_watch_->Stop();
  tick_timer_.cancel();
  http_server_.NotifyWhenAllSent([this] {
    exit_timer_.expires_after(kExitFlushDelay);
    exit_timer_.async_wait([this](const asio::error_code&) {
      Log(LogPart::kMain, LogLevel::kInfo, "stopped");
      loop_.stop();
    });
  });
}

void EntryProcess::ObserveStartDelays(const Starts& starts) {
  const BootTime now = BootNow();
  for (const TaskStart& start : starts.tasks) {
    const Job* job = board_.jobs.Find(start.id.submission);
    if (job == nullptr) continue;
    metrics_.Observe(LatencyKind::kStartDelay, now - job->accepted_at);
  }
}

}  // namespace dottereltrack
