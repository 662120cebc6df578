// Prints the processor time and the bytes of a change of the pool's
// configuration by its number of queues, for docs/CAPACITY.md.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "core/pool/config.h"
#include "json/base64.h"
#include "platform/config.h"
#include "platform/metadata_store.h"
#include "pool_wire/codec.h"

namespace dottereltrack::pool {
namespace {

// The median of this many runs of each step is printed.
constexpr int kRuns = 15;
constexpr int kLookups = 1'000;

std::string HostOf(int n) { return "team-" + std::to_string(n / 4) + ".rent"; }
std::string PrefixOf(int n) {
  return "/checks/region-" + std::to_string(n % 4) + "/";
}

// A configuration as operators write it; about 145 bytes a queue.
std::string MakeText(int queues) {
  std::string text = R"({"version":7,"routes":[)";
  for (int n = 0; n < queues; ++n) {
    if (n > 0) text += ",";
    text += R"({"name":"queue-)" + std::to_string(n) + R"(","host":")" +
            HostOf(n) + R"(","prefix":")" + PrefixOf(n) +
            R"(","service":"menus","priority":1,"max_attempts":3,)" +
            R"("stretch":1.6,"target_latency_ms":60})";
  }
  return text + "]}";
}

std::string MakeStoreBody(const std::string& text) {
  return R"({"as_of":12,"items":[{"key":"op/config","revision":12,"value":")" +
         ToBase64(text) + R"("}],"truncated":false})";
}

double MedianMicros(const std::function<void()>& step) {
  std::vector<double> times;
  for (int n = 0; n < kRuns; ++n) {
    const auto start = std::chrono::steady_clock::now();
    step();
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

// Keeps the compiler from removing a computation.
volatile std::size_t sink = 0;

void PrintRow(int queues) {
  const std::string text = MakeText(queues);
  HttpResult answer;
  answer.end = HttpEnd::kAnswered;
  answer.status = 200;
  answer.body = MakeStoreBody(text);
  const double decode = MedianMicros([&] {
    sink = users_platform::ParseStoreResponse(answer).view.items.size();
  });
  const double base64 = MedianMicros(
      [&, encoded = ToBase64(text)] { sink = FromBase64(encoded)->size(); });
  const double parse = MedianMicros(
      [&] { sink = users_platform::ParseConfig(text).value().queues.size(); });
  const PoolConfig config = users_platform::ParseConfig(text).value();
  PoolConfig copy;
  const double copying = MedianMicros([&] {
    copy = config;
    sink = copy.queues.size();
  });
  const double lookup = MedianMicros([&] {
    for (int n = 0; n < kLookups; ++n) {
      const int queue = n * 7 % queues;
      sink = FindQueue(config, HostOf(queue), PrefixOf(queue) + "17") != nullptr
                 ? 1
                 : 0;
    }
  });
  const Message offer = ConfigOffer{7, text};
  const double encode = MedianMicros([&] { sink = EncodeFrame(offer).size(); });
  const std::string frame = EncodeFrame(offer);
  const double read =
      MedianMicros([&] { sink = DecodeFrame(frame).has_value() ? 1 : 0; });
  const std::size_t announcement =
      EncodeFrame(ConfigAnnouncement{7, text.size(), 200}).size();
  std::printf(
      "| %d | %zu | %zu | %.0f | %.0f | %.0f | %.1f | %.2f | %.0f | %.0f | %zu "
      "| %zu |\n",
      queues, text.size(), answer.body.size(), decode, base64, parse, copying,
      lookup / kLookups, encode, read, frame.size(), announcement);
}

}  // namespace
}  // namespace dottereltrack::pool

int main() {
  std::puts(
      "| queues | text, bytes | store's answer, bytes | decode of it, us | of "
      "this base64, us | parse, us | copy, us | lookup, us | encode offer, us "
      "| decode offer, us | offer, bytes | announcement, bytes |");
  std::puts(
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
      "| --- |");
  for (const int queues : {10, 1'400, 10'000}) {
    dottereltrack::pool::PrintRow(queues);
  }
  return 0;
}
