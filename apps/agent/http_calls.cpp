// The HTTP side of an agent: requests of the minion to events.

#include <utility>

#include "apps/agent/agent_process.h"
#include "runtime/settings/endpoint_text.h"

namespace dottereltrack {
namespace {

// Rows per table in /debug/state; the dump then stays below 1 MB.
constexpr std::size_t kMaxStateRows = 1'000;

// Instances whose address is kept: the announced one, and the one before it for
// starts that were decided in the same turn.
constexpr std::size_t kMaxTargets = 2;

}  // namespace

void AgentProcess::OnHttp(const HttpRequest& request,
                          const HttpReplier& reply) {
  const ApiReply result = Serve(request);
  reply({result.status, result.body, result.content_type, {}});
}

ApiReply AgentProcess::Serve(const HttpRequest& request) {
  const auto found = FindAgentRoute(request.method, request.path);
  if (const auto* error = std::get_if<ApiReply>(&found)) return *error;
  switch (std::get<AgentRoute>(found)) {
    case AgentRoute::kAnnounce:
      return Announce(request.body);
    case AgentRoute::kLeave:
      return Leave(request.body);
    case AgentRoute::kHealth:
      return RenderHealth(board_);
    case AgentRoute::kMetrics:
      return RenderMetrics(board_);
    case AgentRoute::kState:
      break;
  }
  return RenderState(board_, kMaxStateRows);
}

ApiReply AgentProcess::Announce(const std::string& body) {
  MinionDescription defaults;
  defaults.data_centre = settings_.data_centre;
  defaults.rack = settings_.rack;
  auto announcement = ParseAnnouncement(body, defaults);
  if (!announcement) {
    Log(LogPart::kMinion, LogLevel::kWarning,
        "announcement refused: " + announcement.error().message);
    return RenderRefusal(announcement.error());
  }
  const auto& [minion, target] = announcement.value();
  if (targets_.size() >= kMaxTargets && targets_.count(minion.instance) == 0) {
    const auto current = board_.minion ? board_.minion->instance : 0;
    std::erase_if(targets_,
                  [&](const auto& it) { return it.first != current; });
  }
  // A minion repeats its announcement, so that a new agent learns of it.
  const bool is_news = board_.minion != minion ||
                       targets_.count(minion.instance) == 0 ||
                       targets_[minion.instance] != target;
  targets_[minion.instance] = target;
  if (is_news) {
    Log(LogPart::kMinion, LogLevel::kInfo,
        minion.name + ", instance " + ToHex(minion.instance) +
            ", announced at " + ToText(target.address) + target.path);
  }
  Post(MinionAnnounced{minion});
  return RenderAccepted(minion.name);
}

ApiReply AgentProcess::Leave(const std::string& body) {
  const auto instance = ParseLeave(body);
  if (!instance) return RenderRefusal(instance.error());
  const auto current = board_.minion ? board_.minion->instance : 0;
  if (instance.value() && *instance.value() != current) {
    return RenderOtherInstance();
  }
  Log(LogPart::kMinion, LogLevel::kInfo, "the minion leaves");
  Post(MinionLeaving{});
  return RenderAccepted(board_.minion ? board_.minion->name : "");
}

}  // namespace dottereltrack
