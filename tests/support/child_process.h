#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace dottereltrack::testing {

// A program that a test has started. Its first line of output ends with the
// port on which it listens. The destructor kills it.
class ChildProcess {
 public:
  explicit ChildProcess(const std::vector<std::string>& command);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Port from the first line; 0 if the program has failed to start.
  std::uint16_t port() const { return port_; }
  // Sends a signal to the process.
  void Signal(int signal) const;
  // Kills the process and waits for its end.
  void Kill();
  // Sends SIGTERM and waits for the end. Returns the exit code, or -1 if a
  // signal has ended the process or it runs for longer than 10 s.
  int Stop();

 private:
  pid_t pid_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace dottereltrack::testing
