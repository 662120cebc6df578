"""Removes one mechanism from the decision library; the tests must then fail.

mutate.py             prints "name file" for each mutation, one per line
mutate.py NAME SOURCE OUT   writes the source without the mechanism
"""

import sys

ENTRY = "src/core/entry/"
AGENT = "src/core/agent/"
POOL_ENTRY = "src/core/pool/entry/"
POOL_AGENT = "src/core/pool/agent/"

# Name, source file, and pairs of a quoted text and its replacement. Each quoted
# text occurs exactly once in the file.
MUTATIONS = [
    ("fence_check", AGENT + "starts.cpp", [
        ("if (!IsFromDispatcher(board, link, fence)) return StartRefusal::kStaleFence;",
         "(void)fence;")]),
    ("ledger_duplicate_check", AGENT + "starts.cpp", [
        ("if (const LedgerRow* row = board.ledger.Find(start.id)) {",
         "if (const LedgerRow* row = nullptr; row != nullptr) {")]),
    ("instance_check", AGENT + "starts.cpp", [
        ("if (!board.minion || board.minion->instance != "
         "start.minion_instance) {", "if (!board.minion) {")]),
    ("generation_check", AGENT + "fencing.cpp", [
        ("if (request.fence <= board.fence) "
         "return ReportNewerFence(board, link);", "")]),
    ("majority_authority", ENTRY + "authority.cpp", [
        ("return static_cast<std::size_t>(recent_acks) * 2 > roster.size();",
         "return static_cast<std::size_t>(recent_acks) * 2 > roster.size() || true;")
    ]),
    ("doubt_after_takeover", ENTRY + "takeover.cpp", [
        ("if (missing.empty()) return true;", "if (missing.size() < 99) return true;")]),
    ("witness_of_opaque_keys", ENTRY + "witnesses.cpp", [
        ("record.underreplicated = !IsInEnoughRacks(board, record);",
         "record.underreplicated = wanted.closed && !IsInEnoughRacks(board, record);")
    ]),
    ("closed_marks", ENTRY + "outcomes.cpp", [
        ("if (job.unsuccessful_tasks == 0) return false;",
         "if (job.unsuccessful_tasks < 9999) return false;")]),
    ("reprotection", ENTRY + "record_transfer.cpp", [
        ("if (!HoldsWitnessRecords(board, id)) {",
         "if (parts.empty()) {"),
        ("std::vector<LedgerCopy> parts = MakeParts(board, id);",
         "std::vector<LedgerCopy> parts = MakeParts(board, id);\n"
         "    parts.clear();")]),
    ("reply_link_check", ENTRY + "forwarding.cpp", [
        ("if (call.request_id != reply.request_id || "
         "call.forwarded_to != link) {",
         "(void)link;\n    if (call.request_id != reply.request_id) {")]),
    ("monotonic_configuration", ENTRY + "configuration.cpp", [
        ("if (config.revision <= board.stored_config.revision) return changes;",
         "if (config == board.stored_config) return changes;")]),
    ("unresolved_tasks", ENTRY + "admission.cpp", [
        ("task.state = TaskState::kUnresolved;",
         "task.state = TaskState::kQueued;")]),
    ("fresh_after_the_wait", ENTRY + "takeover.cpp", [
        ("next.earlier_starts_until_wall = all_read ? now.wall : now.wall - "
         "board.settings.clock_skew;", "")]),
    ("pool_lost_run_bound", POOL_ENTRY + "links.cpp", [
        ("lost.lost_run_ends_by = now.boot + "
         "board.settings.max_lost_run_time;",
         "lost.lost_run_ends_by = now.boot;")]),
    ("pool_stop_of_a_lost_entrys_runs", POOL_AGENT + "links.cpp", [
        ("AgentChanges changes = StopRunsOfLink(board, link, now);",
         "AgentChanges changes;\n  (void)now;")]),
    ("pool_settled_reports", POOL_AGENT + "links.cpp", [
        ("const bool is_earlier = run.entry == link.entry && "
         "run.link != link.id;", "const bool is_earlier = false;")]),
    ("pool_room_check", POOL_AGENT + "runs.cpp", [
        ('if (!Fits(start.needs, FreeResources(board))) return "no room";', "")]),
    ("pool_one_run_of_a_task", POOL_AGENT + "runs.cpp", [
        ("if (HasRunOfTask(board, start.run.task)) {",
         "if (HasRunOfTask(board, start.run.task) && board.runs.empty()) {")]),
    ("pool_unconfirmed_starts", POOL_AGENT + "runs.cpp", [
        ("unconfirmed.phase = RunPhase::kUnconfirmed;",
         "unconfirmed.phase = RunPhase::kRunning;")]),
    ("pool_stopping_runs_count", POOL_AGENT + "polls.cpp", [
        ("if (!run.stop_answered_at || sent_at < *run.stop_answered_at + "
         "board.settings.max_run_stop_time) {", "if (!run.stop_answered_at) {")]),
    ("pool_found_runs", POOL_AGENT + "polls.cpp", [
        ("if (board.runs.Contains(listed.run)) continue;", "continue;")]),
    ("pool_token_of_a_restarted_minion", POOL_AGENT + "instances.cpp", [
        ("changes.Add(SetFencingToken{NextFencingToken(board, now)});\n"
         'changes.Add(MinionDecision(report, "minion_restarted"));',
         'changes.Add(MinionDecision(report, "minion_restarted"));')]),
    ("pool_runs_of_a_replaced_minion", POOL_AGENT + "instances.cpp", [
        ("if (MayHaveLiveRuns(board, now)) return AwaitEndOfRuns(board, report);",
         "")]),
    ("pool_lease_of_an_ending_minion", POOL_AGENT + "polls.cpp", [
        ("return board.poll.failures == 0 || !IsExpectedToEnd(board);",
         "return true;")]),
    ("pool_slow_clock_of_a_minion", POOL_AGENT + "capacity.cpp", [
        ("constexpr int kMaxClockSlownessPercent = 2;",
         "constexpr int kMaxClockSlownessPercent = 0;")]),
    ("pool_clock_after_a_pause", POOL_AGENT + "polls.cpp", [
        ("board.clock.read_at + pause", "board.clock.read_at")]),
    ("pool_clock_of_reports", POOL_AGENT + "instances.cpp", [
        ("if (report.clock_ms > EstimateMinionClockMs(board, now)) {",
         "if (report.clock_ms > EstimateMinionClockMs(board, now) + 9999) {")]),
    ("pool_overdue_stops", POOL_AGENT + "capacity.cpp", [
        ("return run.must_stop_by && now.boot >= *run.must_stop_by &&",
         "return false && now.boot >= *run.must_stop_by &&")]),
    ("pool_unreadable_rows", POOL_AGENT + "polls.cpp", [
        ("} else if (e.refused_rows == 0 || run.phase == RunPhase::kStopping) {",
         "} else {")]),
    ("pool_surplus_links", POOL_AGENT + "links.cpp", [
        ("if (!link.surplus_since || HasRuns(board, id)) continue;",
         "if (!link.surplus_since) continue;")]),
    ("pool_wait_for_a_fast_minion", POOL_ENTRY + "placement.cpp", [
        ("it.cost > waiting.max_slowness", "it.cost < 0")]),
    ("pool_pause_of_an_agent", POOL_AGENT + "advance.cpp", [
        ("if (paused_) return;", "")]),
    ("pool_true_refusals", POOL_ENTRY + "outcomes.cpp", [
        ("return may_have_run ? ReplyKind::kGivenUp : refusal;",
         "return may_have_run ? refusal : refusal;")]),
    ("pool_callers_of_first_starts", POOL_ENTRY + "first_starts.cpp", [
        ("if (!is_connected(call)) disconnected.push_back(call);",
         "is_connected(call);")]),
    ("pool_cancels_at_other_entries", POOL_ENTRY + "cancels.cpp", [
        ("if (has_outcome) {", "if (past == nullptr || has_outcome) {")]),
    ("pool_late_copies", POOL_ENTRY + "past_jobs.cpp", [
        ("if (past == nullptr) return std::nullopt;", "return std::nullopt;")]),
    ("pool_monotonic_configuration", POOL_ENTRY + "advance.cpp", [
        ("if (e.config.version <= board_->config.version) return;", "")]),
    ("pool_crashes_of_a_task", POOL_ENTRY + "crashes.cpp", [
        ("const bool has_failed = "
         "crashes.certain >= settings.max_crashes_of_a_task;",
         "const bool has_failed = false;")]),
    ("pool_certain_crashes", POOL_AGENT + "crashes.cpp", [
        ("evidence != CrashEvidence::kNoAnswer && run.has_begun;", "true;")]),
    ("pool_crashes_at_other_entries", POOL_ENTRY + "submission.cpp", [
        ("if (IsCrashingJob(board, e.job.id)) return FailAtOnce(e, *queue);",
         "")]),
    ("pool_one_suspect_at_a_time", POOL_AGENT + "runs.cpp", [
        ("if (start.is_suspect && HasSuspect(board)) {", "if (false) {")]),
    ("pool_crash_reports", POOL_AGENT + "crashes.cpp", [
        ("hello.crashes = {MakeCrashReport(crash, now)};", "")]),
    ("stale_pending_table", ENTRY + "table_store.cpp", [
        ("changes.Add(DropPendingTable{});", "")]),
]


def split_parts(text):
    """Splits a text at white space, because the formatter may break its lines."""
    return text.split()


def replace_once(source, old, new):
    parts = split_parts(old)
    starts = []
    at = source.find(parts[0])
    while at >= 0:
        end = match_end(source, at, parts)
        if end is not None:
            starts.append((at, end))
        at = source.find(parts[0], at + 1)
    if len(starts) != 1:
        sys.exit(f"the quoted text occurs {len(starts)} times instead of once: {old}")
    return source[:starts[0][0]] + new + source[starts[0][1]:]


def match_end(source, at, parts):
    """Returns the end of the parts if they start at `at`, separated by white space."""
    for part in parts:
        at += len(source[at:]) - len(source[at:].lstrip())
        if not source.startswith(part, at):
            return None
        at += len(part)
    return at


def main():
    if len(sys.argv) == 1:
        for name, path, _ in MUTATIONS:
            print(name, path)
        return
    name, source_path, out_path = sys.argv[1:]
    with open(source_path, encoding="utf-8") as source_file:
        source = source_file.read()
    changes = next(it[2] for it in MUTATIONS if it[0] == name)
    for old, new in changes:
        source = replace_once(source, old, new)
    with open(out_path, "w", encoding="utf-8") as out_file:
        out_file.write(source)


main()
