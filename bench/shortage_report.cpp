// Prints the outcomes of the load patterns in which capacity is short.
//
// Usage: shortage_report [seeds [name]]

#include <cstdio>
#include <cstdlib>
#include <string>

#include "pool_run.h"
#include "shortage/measure.h"

namespace dottereltrack::bench {
namespace {

void PrintRow(const std::string& system, const LoadPattern& pattern,
              const PatternOutcome& outcome) {
  std::printf("| %s/%s | %s |", pattern.demand.deployment.name.c_str(),
              pattern.name.c_str(), system.c_str());
  for (const QueueOutcome& it : outcome.queues) {
    std::printf(" %.1f, %.1f (%.1f after %.2f) |", 100 * it.late,
                100 * it.failed, 100 * it.refused, it.refusal_age);
  }
  std::printf(" %.3f |\n", outcome.value);
  std::fflush(stdout);
}

void Report(int seeds, const std::string& name) {
  std::printf(
      "Late, failed (of these refused) in percent of the jobs of each queue, "
      "the time of\nthe refusals as a share of the clients' timeout, and the "
      "share of the value:\n\n"
      "| pattern | system | short tasks | middle | long tasks | value |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const Demand& demand : {MalabarDemand(), KymaDemand()}) {
    for (const LoadPattern& it : LoadPatternsOf(demand)) {
      const std::string full = demand.deployment.name + "/" + it.name;
      if (full.find(name) == std::string::npos) continue;
      PrintRow("pool", it, MeasurePattern(it, seeds, &RunPool));
      PrintRow("central", it, MeasurePattern(it, seeds, &RunIdealSchedule));
    }
  }
}

}  // namespace
}  // namespace dottereltrack::bench

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 2;
  dottereltrack::bench::Report(seeds, argc > 2 ? argv[2] : "");
  return 0;
}
