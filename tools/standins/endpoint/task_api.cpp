#include "endpoint/task_api.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "endpoint/task_plan.h"

namespace dottereltrack::standins {

TaskApi::TaskApi(asio::io_context& loop, const EndpointOptions& options)
    : loop_(loop), options_(options) {}

void TaskApi::Handle(const Request& request, const Reply& reply) {
  if (request.path == "/run" && request.method == "POST") {
    return Run(request, reply);
  }
  if (request.path == "/counts" && request.method == "GET") {
    return SendCounts(reply);
  }
  reply({404, "use POST /run or GET /counts"}, nullptr);
}

void TaskApi::Run(const Request& request, const Reply& reply) {
  ++board_.starts[ValueOf(request.headers, "x-dottereltrack-submission") + "/" +
                  ValueOf(request.headers, "x-dottereltrack-task")];
  ++board_.running;
  board_.most_running = std::max(board_.most_running, board_.running);
  const auto plan = PlanTask(options_, request.body);
  const auto timer = std::make_shared<asio::steady_timer>(loop_, plan.run_time);
  timer->async_wait([this, timer, plan, reply](const std::error_code& ec) {
    if (ec) return;
    if (!plan.sends_answer) return FinishTask();
    reply(plan.response, [this] { FinishTask(); });
  });
}

void TaskApi::FinishTask() {
  --board_.running;
  if (board_.running == 0 && when_idle_) when_idle_();
}

void TaskApi::WhenIdle(std::function<void()> action) {
  when_idle_ = std::move(action);
  if (board_.running == 0) when_idle_();
}

void TaskApi::SendCounts(const Reply& reply) const {
  const nlohmann::json body = {{"starts", board_.starts},
                               {"running", board_.running},
                               {"most_running", board_.most_running}};
  reply({200, body.dump()}, nullptr);
}

}  // namespace dottereltrack::standins
