#include "apps/ctl/tables.h"

#include <catch2/catch.hpp>

namespace dottereltrack {

// Guards against a status table that does not show which minions accept no
// tasks, and why.
TEST_CASE("the status is rendered as tables", "[ctl]") {
  const auto status = nlohmann::json::parse(R"({
    "entry": "01", "data_centre": "kgn-a", "role": "dispatcher",
    "has_authority": true, "stopping": false, "config_version": 3,
    "store": {"failures": 0}, "open_jobs": 1, "queued_tasks": 2,
    "open_calls": 1,
    "table": {"generation": 5, "dispatcher": "01", "members": [
      {"entry": "01", "address": "127.0.0.1:1", "data_centre": "kgn-a"},
      {"entry": "02", "address": "127.0.0.1:2", "data_centre": "kgn-b"}]},
    "peers": [{"entry": "02", "connected": true}],
    "agents": [
      {"agent": "0a", "minion": "m1", "data_centre": "kgn-a", "rack": "",
       "slots": 8, "in_progress": 3, "phase": "fenced", "draining": true,
       "leaving": false, "ejected": true, "labels": {"arch": "arm"}},
      {"agent": "0b", "minion": "minion-2", "data_centre": "kgn-b",
       "rack": "r1", "slots": 8, "in_progress": 0, "phase": "lost",
       "draining": false, "leaving": false, "ejected": false, "labels": {}}]
  })");
  CHECK(FormatStatus(status) ==
        R"(entry 01 in kgn-a: dispatcher, authority yes, stopping no
generation 5, configuration version 3, failed store calls 0
open jobs 1, queued tasks 2, open calls 1

ENTRY  ADDRESS      DATA CENTRE  ROLE        CONNECTION
01     127.0.0.1:1  kgn-a        dispatcher  this entry
02     127.0.0.1:2  kgn-b        member      connected

MINION    AGENT  DATA CENTRE  RACK  SLOTS  RUNNING  STATE                    LABELS
m1        0a     kgn-a        -     8      3        fenced,draining,ejected  arch=arm
minion-2  0b     kgn-b        r1    8      0        lost                     -
)");
}

// Guards against rendering a failed job like a complete one.
TEST_CASE("the answer of a failed job is rendered as a table", "[ctl]") {
  const auto answer = nlohmann::json::parse(R"({
    "id": "1f", "key": "k", "complete": false, "failure": "task_failed",
    "tasks": [{"state": "done", "result": "42"},
              {"state": "failed", "reason": "exit 1"}]})");
  CHECK(FormatAnswer(answer) == R"(job 1f, key k: failed, task_failed

TASK  STATE   RESULT OR REASON
0     done    42
1     failed  exit 1
)");
}

}  // namespace dottereltrack
