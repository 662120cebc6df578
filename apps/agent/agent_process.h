#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dottereltrack/api.h"
#include "dottereltrack/core.h"
#include "dottereltrack/http_client.h"
#include "dottereltrack/runtime.h"

namespace dottereltrack {

// Connects the agent's decision logic to the network. Converts input to events,
// applies the queued events to the board once per iteration of the event loop,
// and executes the resulting effects. Runs entirely on the loop's thread.
class AgentProcess {
 public:
  AgentProcess(asio::io_context& loop, const AgentDaemonSettings& settings);
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  // Starts listening and schedules all periodic work. Returns false if the
  // HTTP address cannot be bound.
  bool Start();

 private:
  void Post(AgentEvent event);
  void ProcessEvents(const std::vector<AgentEvent>& events);
  void Tick();
  void AwaitSignal();
  Now ReadClocks();

  void OnFrame(LinkId link, const std::string& frame);
  void OnHttpRequest(const HttpRequest& request, const HttpReplier& reply);
  ApiReply HandleRequest(const HttpRequest& request);
  ApiReply HandleAnnounce(const std::string& body);
  ApiReply HandleLeave(const std::string& body);

  void Execute(const SendToEntry& effect);
  void Execute(const StartOnMinion& effect);
  void Execute(const AbortOnMinion& effect);
  void Execute(const DialEntry& effect);
  void Execute(const CloseEntryLink& effect);
  void Execute(const ExitAgent& effect);
  void OnAttemptEnded(const TaskId& task, HttpResult result,
                      BootTime started_at);

  asio::io_context& loop_;
  AgentDaemonSettings settings_;
  AgentBoard board_;
  LinkHub links_;
  HttpServer http_server_;
  HttpClient minion_client_;
  asio::steady_timer tick_timer_;
  asio::steady_timer exit_timer_;
  asio::signal_set signals_;
  std::mt19937_64 random_;
  TurnQueue<AgentEvent> event_queue_;
  // Addresses of the most recent minion instances, by instance id. A start
  // names its instance, so a start for a replaced instance cannot reach the new
  // one.
  std::map<std::uint64_t, MinionTarget> minion_targets_;
  std::map<TaskId, HttpCallId> attempt_calls_;
};

}  // namespace dottereltrack
