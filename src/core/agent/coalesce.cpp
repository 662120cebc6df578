#include "core/agent/coalesce.h"

#include <utility>

namespace dottereltrack {
namespace {

Results* GetResults(AgentEffect* effect, LinkId* link) {
  auto* send = std::get_if<SendToEntry>(effect);
  if (send == nullptr) return nullptr;
  *link = send->link;
  return std::get_if<Results>(&send->message);
}

void AppendResults(Results from, Results* to) {
  to->ack = from.ack;
  for (auto& result : from.results) to->results.push_back(std::move(result));
  to->refused.insert(to->refused.end(), from.refused.begin(),
                     from.refused.end());
}

}  // namespace

std::vector<AgentEffect> CoalesceResults(std::vector<AgentEffect> effects) {
  std::vector<AgentEffect> coalesced;
  for (AgentEffect& effect : effects) {
    LinkId link;
    LinkId last_link;
    Results* results = GetResults(&effect, &link);
    Results* last =
        coalesced.empty() ? nullptr : GetResults(&coalesced.back(), &last_link);
    const bool is_mergeable = results != nullptr && last != nullptr &&
                              link == last_link &&
                              results->ack.fence == last->ack.fence;
    if (is_mergeable) {
      AppendResults(std::move(*results), last);
    } else {
      coalesced.push_back(std::move(effect));
    }
  }
  return coalesced;
}

}  // namespace dottereltrack
