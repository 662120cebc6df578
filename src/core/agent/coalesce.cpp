#include "core/agent/coalesce.h"

#include <utility>

namespace dottereltrack {
namespace {

Results* ResultsTo(AgentEffect* effect, LinkId* link) {
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
  std::vector<AgentEffect> joined;
  for (AgentEffect& effect : effects) {
    LinkId link;
    LinkId last_link;
    Results* results = ResultsTo(&effect, &link);
    Results* last =
        joined.empty() ? nullptr : ResultsTo(&joined.back(), &last_link);
    const bool same = results != nullptr && last != nullptr &&
                      link == last_link &&
                      results->ack.fence == last->ack.fence;
    if (same) {
      AppendResults(std::move(*results), last);
    } else {
      joined.push_back(std::move(effect));
    }
  }
  return joined;
}

}  // namespace dottereltrack
