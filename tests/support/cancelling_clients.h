#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "support/test_pool.h"

namespace dottereltrack::testing {

// Clients that cancel jobs, and copies of submissions that arrive late. Checks
// that no task of a job starts long after its cancel was acknowledged, and that
// no copy of a job that has run is refused as not run.
class CancellingClients {
 public:
  explicit CancellingClients(TestPool* pool) : pool_(pool) {}

  // Cancels a job at an entry; after no answer, or one that asks for it, again
  // at the next entry.
  void Cancel(std::uint64_t job, int entry);
  // Submits a copy of a job that has been answered.
  void SubmitCopy(const pool::JobSpec& job, int entry,
                  milliseconds client_timeout);
  // Must be called in short intervals.
  void Update();
  std::vector<std::string> FindViolations() const;

 private:
  struct PendingCancel {
    std::uint64_t job = 0;
    int entry = 0;
    CallId call;
    std::optional<BootTime> resend_at;
    std::optional<BootTime> acknowledged_at;
    // Number of the job's runs when the last start was allowed.
    std::optional<int> allowed_runs;
  };
  struct Copy {
    std::uint64_t job = 0;
    CallId call;
  };

  void UpdateCancel(PendingCancel* cancel);

  TestPool* pool_;
  std::vector<PendingCancel> cancels_;
  std::vector<Copy> copies_;
};

// Whether a reply says that the job was not run.
bool IsRefusal(pool::ReplyKind kind);

}  // namespace dottereltrack::testing
