#include "support/child_process.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>

extern char** environ;

namespace dottereltrack::testing {
namespace {

constexpr std::chrono::seconds kStopTimeout{10};
constexpr std::chrono::milliseconds kStopPollInterval{5};

// Reads up to the first newline, which is dropped.
std::string ReadLine(int fd) {
  std::string line;
  char c = 0;
  while (read(fd, &c, 1) == 1 && c != '\n') line.push_back(c);
  return line;
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command) {
  int fds[2];
  if (pipe(fds) != 0) return;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, fds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose(&actions, fds[0]);
  posix_spawn_file_actions_addclose(&actions, fds[1]);
  std::vector<char*> args;
  for (const auto& word : command) {
    args.push_back(const_cast<char*>(word.c_str()));
  }
  args.push_back(nullptr);
  const int error =
      posix_spawn(&pid_, args[0], &actions, nullptr, args.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(fds[1]);
  if (error != 0) {
    pid_ = -1;
  } else {
    const auto line = ReadLine(fds[0]);
    port_ = static_cast<std::uint16_t>(
        std::atoi(line.substr(line.rfind(':') + 1).c_str()));
  }
  close(fds[0]);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void ChildProcess::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

int ChildProcess::Stop() {
  Signal(SIGTERM);
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  while (std::chrono::steady_clock::now() < end) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
  return -1;
}

}  // namespace dottereltrack::testing
