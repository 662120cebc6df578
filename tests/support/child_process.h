#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace dottereltrack::testing {

// A child process of a test. The first line of its output must end with the
// port on which it listens. The destructor kills the process.
class ChildProcess {
 public:
  explicit ChildProcess(const std::vector<std::string>& command);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Port from the first line of output; 0 if the program failed to start.
  std::uint16_t port() const { return port_; }
  void Signal(int signal) const;
  // Sends SIGKILL and waits for the process to exit.
  void Kill();
  // Sends SIGTERM and waits for the process to exit. Returns the exit code, or
  // -1 if a signal ended the process or it is still running after 10 s.
  int Stop();

 private:
  pid_t pid_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace dottereltrack::testing
