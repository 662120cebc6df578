#include "trace_actions.h"

#include <algorithm>

namespace dottereltrack::bench {

std::vector<TimedAction> MakeActions(const Scenario& scenario,
                                     const Trace& trace,
                                     const TraceHandlers& handlers) {
  const BootTime delay = scenario.deployment.client_delay;
  std::vector<TimedAction> actions;
  for (std::size_t n = 0; n < trace.size(); ++n) {
    actions.push_back({trace[n].at + delay, [&, n] { handlers.submit(n); }});
    if (trace[n].cancel_at == BootTime{0}) continue;
    actions.push_back(
        {trace[n].cancel_at + delay, [&, n] { handlers.cancel(n); }});
  }
  for (const Disturbance& it : scenario.disturbances) {
    actions.push_back({it.at, [&] { handlers.apply_disturbance(it); }});
  }
  actions.push_back({scenario.warm_up, handlers.start_measuring});
  actions.push_back({scenario.duration, handlers.stop_measuring});
  std::stable_sort(
      actions.begin(), actions.end(),
      [](const TimedAction& a, const TimedAction& b) { return a.at < b.at; });
  return actions;
}

}  // namespace dottereltrack::bench
