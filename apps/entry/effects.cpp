// Carries out what the decisions of an entry ask for.

#include <utility>

#include "apps/entry/entry_process.h"
#include "apps/entry/frames.h"
#include "dottereltrack/wire.h"

namespace dottereltrack {
namespace {

// Frames leave in the turn of the loop after the one that sends them; the wait
// covers a full send buffer.
constexpr milliseconds kLastFramesWait{100};

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
    Log(LogPart::kLinks, LogLevel::kDebug, "message ignored: " + error.message);
    return;
  }
  Log(LogPart::kLinks, LogLevel::kWarning, "link closed: " + error.message);
  links_.Close(link);
}

void EntryProcess::Do(const SendToAgent& effect) {
  if (const auto* starts = std::get_if<Starts>(&effect.message)) {
    ObserveStarts(*starts);
  }
  if (auto frame = FrameOf(effect.message)) {
    links_.Send(effect.link, std::move(*frame));
  }
}

void EntryProcess::Do(const SendToPeer& effect) {
  if (auto frame = FrameOf(effect.message)) {
    links_.Send(effect.link, std::move(*frame));
  }
}

void EntryProcess::Do(const ReplyToCaller& effect) {
  EndCall(effect.call, effect.reply);
}

void EntryProcess::Do(const ReplyToOperator& effect) {
  EndCall(effect.call, RenderOperatorReply(effect.reply));
}

void EntryProcess::Do(const DialPeer& effect) {
  const EntryId peer = effect.peer;
  links_.Dial(effect.address, [this, peer](std::optional<LinkId> link) {
    if (link) {
      Post(PeerDialed{*link, peer});
    } else {
      Post(PeerDialFailed{peer});
    }
  });
}

void EntryProcess::Do(const CloseLink& effect) { links_.Close(effect.link); }

void EntryProcess::Do(const ReadTable&) {
  store_.read_table([this](const std::optional<StoredTable>& table) {
    if (table) {
      Post(TableObserved{*table});
    } else {
      Post(StoreReadFailed{});
    }
  });
}

void EntryProcess::Do(const ReadConfig&) {
  store_.read_config([this](const std::optional<StoredConfig>& config) {
    if (config) Post(ConfigObserved{*config});
  });
}

void EntryProcess::Do(const WriteTable& effect) {
  store_.write_table(effect.expected_revision, effect.table,
                     [this](const WriteResult& result) {
                       Post(TableWritten{result.status, result.revision});
                     });
}

void EntryProcess::Do(const WriteConfig& effect) {
  const CallId call = effect.call;
  store_.write_config(
      effect.expected_revision, effect.config,
      [this, call](const WriteResult& result) {
        Post(ConfigWritten{call, result.status, result.revision});
      });
}

void EntryProcess::Do(const ExitProcess&) {
  if (!turns_.Stop()) return;
  http_.StopListening();
  table_watch_->Stop();
  config_watch_->Stop();
  tick_.cancel();
  http_.WhenSent([this] {
    exit_timer_.expires_after(kLastFramesWait);
    exit_timer_.async_wait([this](const asio::error_code&) {
      Log(LogPart::kMain, LogLevel::kInfo, "stopped");
      loop_.stop();
    });
  });
}

void EntryProcess::ObserveStarts(const Starts& starts) {
  const BootTime now = BootNow();
  for (const TaskStart& start : starts.tasks) {
    const Job* job = board_.jobs.Find(start.id.submission);
    if (job == nullptr) continue;
    metrics_.Observe(AddedTime::kStartDelay, now - job->accepted_at);
  }
}

}  // namespace dottereltrack
