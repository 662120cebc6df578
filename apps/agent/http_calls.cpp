// Handles the agent's HTTP requests and converts those of the minion to events.

#include <utility>

#include "apps/agent/agent_process.h"
#include "runtime/http/reception_report.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack {
namespace {

// Maximum rows per table in /debug/state, which keeps the dump below 1 MB.
constexpr std::size_t kMaxStateRows = 1'000;

// Maximum number of minion instances whose address is stored: the announced one
// and its predecessor, which starts decided in the same iteration may still
// name.
constexpr std::size_t kMaxMinionTargets = 2;

}  // namespace

void AgentProcess::OnHttpRequest(const HttpRequest& request,
                                 const HttpReplier& reply) {
  const ApiReply result = HandleRequest(request);
  reply({result.status, result.body, result.content_type, {}});
}

ApiReply AgentProcess::HandleRequest(const HttpRequest& request) {
  const auto route_or_error = FindAgentRoute(request.method, request.path);
  if (const auto* error = std::get_if<ApiReply>(&route_or_error)) return *error;
  switch (std::get<AgentRoute>(route_or_error)) {
    case AgentRoute::kAnnounce:
      return HandleAnnounce(request.body);
    case AgentRoute::kLeave:
      return HandleLeave(request.body);
    case AgentRoute::kHealth:
      return RenderHealth(board_);
    case AgentRoute::kMetrics: {
      ApiReply metrics = RenderMetrics(board_);
      metrics.body += RenderReceptionMetrics(loop_, "dottereltrack_agent_");
      return metrics;
    }
    case AgentRoute::kState:
      break;
  }
  return RenderState(board_, kMaxStateRows);
}

ApiReply AgentProcess::HandleAnnounce(const std::string& body) {
  MinionDescription defaults;
  defaults.data_centre = settings_.data_centre;
  defaults.rack = settings_.rack;
  auto announcement = ParseAnnouncement(body, defaults);
  if (!announcement) {
    Log(LogPart::kMinion, LogLevel::kWarning,
        "rejected announcement of the minion: " + announcement.error().message);
    return RenderRefusal(announcement.error());
  }
  const auto& [minion, target] = announcement.value();
  if (minion_targets_.size() >= kMaxMinionTargets &&
      minion_targets_.count(minion.instance) == 0) {
    const auto current = board_.minion ? board_.minion->instance : 0;
    std::erase_if(minion_targets_,
                  [&](const auto& it) { return it.first != current; });
  }
  // A minion repeats its announcement periodically so that a restarted agent
  // learns of it. Only changes are logged.
  const bool has_changed = board_.minion != minion ||
                           minion_targets_.count(minion.instance) == 0 ||
                           minion_targets_[minion.instance] != target;
  minion_targets_[minion.instance] = target;
  if (has_changed) {
    Log(LogPart::kMinion, LogLevel::kInfo,
        minion.name + ", instance " + ToHex(minion.instance) +
            ", announced at " + ToText(target.address) + target.path);
  }
  Post(MinionAnnounced{minion});
  return RenderAccepted(minion.name);
}

ApiReply AgentProcess::HandleLeave(const std::string& body) {
  const auto instance = ParseLeave(body);
  if (!instance) return RenderRefusal(instance.error());
  const auto current = board_.minion ? board_.minion->instance : 0;
  if (instance.value() && *instance.value() != current) {
    return RenderOtherInstance();
  }
  Log(LogPart::kMinion, LogLevel::kInfo, "the minion is leaving");
  Post(MinionLeaving{});
  return RenderAccepted(board_.minion ? board_.minion->name : "");
}

}  // namespace dottereltrack
