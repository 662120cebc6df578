#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "apps/entry/store_watch.h"
#include "dottereltrack/api.h"
#include "dottereltrack/cell_store.h"
#include "dottereltrack/core.h"
#include "dottereltrack/runtime.h"

namespace dottereltrack {

// An HTTP call that awaits its reply.
struct PendingCall {
  HttpReplier reply;
  std::uint64_t connection = 0;
  // The idempotency key of a submitted job, which its answer repeats; empty for
  // other calls.
  std::string key;
  BootTime opened_at{0};
};

// Connects the entry's decision logic to the network. Converts input to events,
// applies the queued events to the board once per iteration of the event loop,
// and executes the resulting effects. Runs entirely on the loop's thread.
class EntryProcess {
 public:
  EntryProcess(asio::io_context& loop, const EntryDaemonSettings& settings);
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Starts listening and schedules all periodic work. Returns false if an
  // address cannot be bound.
  bool Start(Store store);
  // Port of the HTTP server. Valid after Start has succeeded.
  std::uint16_t http_port() const { return http_port_; }

 private:
  void Post(EntryEvent event);
  void Turn(const std::vector<EntryEvent>& events);
  void Tick();
  void NoteRole(const Authority& before);
  void AwaitStopSignal();
  Now TakeNow();

  void OnFrame(LinkId link, const std::string& frame);
  void OnHttp(const HttpRequest& request, HttpReplier reply);
  void OnDisconnect(std::uint64_t connection);
  void Serve(const Route& route, const HttpRequest& request, HttpReplier reply);
  void Submit(const HttpRequest& request, HttpReplier reply);
  void ChangeConfig(const HttpRequest& request, HttpReplier reply);
  void ConfirmDead(const HttpRequest& request, HttpReplier reply);
  // Registers a call and stores its replier until the reply is known.
  CallId OpenCall(const HttpRequest& request, HttpReplier reply,
                  std::string key);
  void EndCall(CallId call, const ApiReply& reply);
  void EndCall(CallId call, const Reply& reply);

  void WatchStore();

  void Do(const SendToAgent& effect);
  void Do(const SendToPeer& effect);
  void Do(const ReplyToCaller& effect);
  void Do(const ReplyToOperator& effect);
  void Do(const DialPeer& effect);
  void Do(const CloseLink& effect);
  void Do(const ReadTable& effect);
  void Do(const ReadConfig& effect);
  void Do(const WriteTable& effect);
  void Do(const WriteConfig& effect);
  void Do(const ExitProcess& effect);
  void ObserveStarts(const Starts& starts);

  asio::io_context& loop_;
  EntryDaemonSettings settings_;
  EntryBoard board_;
  EntryMetrics metrics_;
  LinkHub links_;
  HttpServer http_;
  Store store_;
  asio::steady_timer tick_;
  asio::signal_set signals_;
  asio::steady_timer exit_timer_;
  std::mt19937_64 random_;
  TurnQueue<EntryEvent> turns_;
  std::uint16_t http_port_ = 0;
  std::uint64_t next_call_ = 1;
  std::map<CallId, PendingCall> calls_;
  std::map<std::uint64_t, std::set<CallId>> calls_by_connection_;
  std::unique_ptr<StoreWatch> table_watch_;
  std::unique_ptr<StoreWatch> config_watch_;
};

}  // namespace dottereltrack
