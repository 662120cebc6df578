#pragma once

#include <string>

#include "core/ids.h"
#include "core/pool/task.h"
#include "core/time.h"

namespace dottereltrack::pool {

// A client has submitted a job. The host and the path select its queue.
struct JobSubmitted {
  CallId call;
  // The client's request id, for logs.
  std::string request_id;
  std::string host;
  std::string path;
  JobSpec job;
  // How long the client waits for the reply.
  milliseconds client_timeout{0};
  // Set if another entry has forwarded the job, which it received `age` ago.
  bool is_from_peer = false;
  milliseconds age{0};
  // The client's address without its port, or the peer's link.
  std::string source{};
  friend bool operator==(const JobSubmitted&, const JobSubmitted&) = default;
};

}  // namespace dottereltrack::pool
