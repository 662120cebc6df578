#include "endpoint/options.h"

#include <docopt/docopt.h>

#include <sstream>
#include <stdexcept>

namespace dottereltrack::standins {
namespace {

const char* const kUsage = R"(A minion that runs a task by sleeping.

The payload of a task begins with its run time in milliseconds: "120 abc".

Usage:
  standin-endpoint [options]

Options:
  --host=ADDRESS        IP address to listen on [default: 127.0.0.1].
  --port=PORT           TCP port; 0 takes a free one [default: 0].
  --agent=ADDRESS       IP address and port of its agent [default: ].
  --name=NAME           Name of the minion [default: minion].
  --labels=LIST         Labels, such as pool=a,gpu=yes [default: ].
  --slots=N             Tasks that may run at once [default: 8].
  --connections=N       Connections that it accepts [default: 64].
  --memory-bytes=N      Memory for tasks [default: 1073741824].
  --accelerators=N      Accelerators for tasks [default: 0].
  --rack=NAME           Rack [default: r1].
  --data-centre=NAME    Data centre [default: local].
  --speed=FACTOR        Run time over the time in the payload [default: 1].
  --extra-delay-ms=N    Time added to each run [default: 0].
  --mode=MODE           succeed, fail (status 500) or drop (no answer)
                        [default: succeed].
  --help                Shows this text.
)";

std::map<std::string, std::string> ParseLabels(const std::string& text) {
  std::map<std::string, std::string> labels;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const auto n = item.find('=');
    if (n == std::string::npos) {
      throw std::invalid_argument("--labels: expected name=value, got " + item);
    }
    labels[item.substr(0, n)] = item.substr(n + 1);
  }
  return labels;
}

TaskMode ParseMode(const std::string& text) {
  if (text == "succeed") return TaskMode::kSucceed;
  if (text == "fail") return TaskMode::kFail;
  if (text == "drop") return TaskMode::kDrop;
  throw std::invalid_argument("--mode: expected succeed, fail or drop");
}

}  // namespace

EndpointOptions ParseEndpointOptions(
    const std::vector<std::string>& arguments) {
  auto values = docopt::docopt(kUsage, arguments, /*help=*/true);
  const auto text = [&](const char* name) { return values[name].asString(); };
  const auto number = [&](const char* name) {
    return std::stoull(values[name].asString());
  };
  EndpointOptions options;
  options.host = text("--host");
  options.port = static_cast<std::uint16_t>(number("--port"));
  options.agent = text("--agent");
  options.name = text("--name");
  options.labels = ParseLabels(text("--labels"));
  options.slots = static_cast<std::uint32_t>(number("--slots"));
  options.connections = static_cast<std::uint32_t>(number("--connections"));
  options.memory_bytes = number("--memory-bytes");
  options.accelerators = static_cast<std::uint32_t>(number("--accelerators"));
  options.rack = text("--rack");
  options.data_centre = text("--data-centre");
  options.speed = std::stod(text("--speed"));
  options.extra_delay = std::chrono::milliseconds(number("--extra-delay-ms"));
  options.mode = ParseMode(text("--mode"));
  return options;
}

}  // namespace dottereltrack::standins
