"""Removes one mechanism from the decision library; the tests must then fail.

mutate.py             prints "name file" for each mutation, one per line
mutate.py NAME SOURCE OUT   writes the source without the mechanism
"""

import sys

ENTRY = "src/core/entry/"
AGENT = "src/core/agent/"
POOL = "src/core/pool/"
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
    ("pool_bound_of_a_wait_for_a_rack", POOL_ENTRY + "locality.cpp", [
        ("|| start.waited >= saved", "")]),
    ("pool_goal_of_a_wait_for_a_rack", POOL_ENTRY + "locality.cpp", [
        ("return *start.near_delay + start.run_time <= start.time_left;",
         "return true;")]),
    ("pool_required_labels", POOL_AGENT + "runs.cpp", [
        ("if (!HasRequiredLabel(board, start)) {", "if (false) {")]),
    ("pool_lost_runs_of_a_step", POOL_ENTRY + "locality.cpp", [
        ("task.state == TaskState::kStopping || task.state == TaskState::kLost;",
         "task.state == TaskState::kStopping;")]),
    ("pool_replaced_polls", POOL_AGENT + "poll_timing.cpp", [
        ("if (poll.wait.count() > 0 && now.boot >= answer_due_at) {",
         "if (false) {")]),
    ("pool_stop_of_a_listed_run", POOL_AGENT + "polls.cpp", [
        ("(run.has_begun ? board.settings.max_run_stop_time "
         ": milliseconds{0})", "milliseconds{0}")]),
    ("pool_room_check", POOL_AGENT + "runs.cpp", [
        ('if (!Fits(start.needs, AvailableResources(board, now))) return "no room";',
         "")]),
    ("pool_one_run_of_a_task", POOL_AGENT + "runs.cpp", [
        ("if (HasRunOfTask(board, start.run.task)) {",
         "if (HasRunOfTask(board, start.run.task) && board.runs.empty()) {")]),
    ("pool_unconfirmed_starts", POOL_AGENT + "runs.cpp", [
        ("unconfirmed.phase = RunPhase::kUnconfirmed;",
         "unconfirmed.phase = RunPhase::kRunning;")]),
    ("pool_stopping_runs_count", POOL_AGENT + "polls.cpp", [
        ("if (sent_at < *run.stop_answered_at + "
         "(run.has_begun ? board.settings.max_run_stop_time "
         ": milliseconds{0})) {", "if (false) {")]),
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
    ("pool_wait_for_a_fast_minion", POOL_ENTRY + "minion_choice.cpp", [
        ("if (slowness > task.max_slowness) return kNever;", "")]),
    ("pool_minions_that_miss_starts", POOL_AGENT + "polls.cpp", [
        ("*health = WithMissedStart(*health, now);", "")]),
    ("pool_choice_of_reliable_minions", POOL_ENTRY + "minion_choice.cpp", [
        ("if (minion.misses_starts && !has_time_for_loss) {",
         "if (false) {")]),
    ("pool_no_choice_of_silent_agents", POOL_ENTRY + "minion_choice.cpp", [
        ("if (minion.is_silent && !has_time_for_loss) return kNever;", "")]),
    ("pool_started_jobs_first", POOL_ENTRY + "waiting_order.cpp", [
        ("!it.is_late && !it.job_has_started", "false")]),
    ("pool_late_jobs_with_less_work", POOL_ENTRY + "waiting_order.cpp", [
        ("a.is_late && a.remaining_work != b.remaining_work", "false")]),
    ("pool_refusal_before_the_deadline", POOL_ENTRY + "advance.cpp", [
        ("ApplyChanges(RefuseHopelessJobs(*board_, now_));", "")]),
    ("pool_true_early_refusals", POOL_ENTRY + "refusal.cpp", [
        ("RefusalOf(*job, ReplyKind::kOverloaded),", "ReplyKind::kOverloaded,")]),
    ("pool_refusal_with_high_estimates", POOL_ENTRY + "refusal.cpp", [
        ("constexpr double kMinEstimateShare = 0.7;",
         "constexpr double kMinEstimateShare = 1.0;")]),
    ("pool_spread_retries", POOL_ENTRY + "refusal.cpp", [
        ("MixBits(job + kMixIncrement) % (spread + 1)", "0")]),
    ("pool_held_submissions", POOL_ENTRY + "submission.cpp", [
        ("if (!shortage && !e.is_from_peer && !answers.are_complete) {",
         "if (false) {")]),
    ("pool_runs_of_lost_peers", POOL_ENTRY + "submission.cpp", [
        ("has_runs ? answers.runs_end_by : BootTime{0}", "BootTime{0}")]),
    ("pool_takeover_by_the_lower_address", POOL_ENTRY + "accepted_jobs.cpp", [
        ("if (*link.dialed_address >= board.settings.address) return;", "return;")]),
    ("pool_announcements_after_a_start", POOL_ENTRY + "accepted_jobs.cpp", [
        ("const BootTime since = std::max(board.started_at, board.paused_until);",
         "return true; const BootTime since{0};")]),
    ("pool_backlog_of_slow_minions", POOL_ENTRY + "backlog.cpp", [
        ("total / std::exp(agent.load.log_slowness)", "total")]),
    ("pool_margin_of_the_slowness", POOL_ENTRY + "placement.cpp", [
        ("constexpr double kSlownessMargin = 1.1;",
         "constexpr double kSlownessMargin = 1.0;")]),
    ("pool_silent_agents", POOL_ENTRY + "placement.cpp", [
        ("now.boot - link->last_received_at > kMaxSilence",
         "now.boot < link->last_received_at")]),
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
    ("pool_monotonic_configuration", POOL_ENTRY + "config_exchange.cpp", [
        ("if (e.config.version <= board.config.version) return changes;", "")]),
    ("pool_wait_for_the_store", POOL_ENTRY + "config_exchange.cpp", [
        ("waited >= RequestDelay(SettingsOf(board), provider->size_bytes)",
         "waited >= BootTime{0}")]),
    ("pool_next_config_provider", POOL_ENTRY + "config_exchange.cpp", [
        ("now.boot - fetch.asked_at >= AnswerTimeout(SettingsOf(board), "
         "peer->size_bytes, peer->link_mbps)", "false")]),
    ("pool_unusable_config_text", POOL_ENTRY + "config_exchange.cpp", [
        ("now.boot - fetch.reading_since >= SettingsOf(board).max_read_time",
         "false")]),
    ("pool_refused_config_text", POOL_ENTRY + "config_exchange.cpp", [
        ("MarkFailed(board, e.link, \"the text cannot be read\", now, &changes);",
         "(void)now;")]),
    ("pool_config_provider_asked_again", POOL_ENTRY + "config_exchange.cpp", [
        ("now.boot - *peer.failed_at >= SettingsOf(board).retry_delay",
         "now.boot < BootTime{0}")]),
    ("pool_fast_config_provider", POOL_ENTRY + "config_exchange.cpp", [
        ("const bool is_slow = peer.link_mbps > 0 &&",
         "const bool is_slow = false &&")]),
    ("pool_one_config_transfer", POOL_ENTRY + "config_exchange.cpp", [
        ("if (!is_given_up && upload_ends_at > now.boot) continue;", "")]),
    ("pool_overdue_config_request", POOL_ENTRY + "config_exchange.cpp", [
        ("if (is_given_up) continue;", "")]),
    ("pool_config_announced_back", POOL_ENTRY + "config_exchange.cpp", [
        ("return peer != nullptr && peer->version < version;", "return false;")]),
    ("pool_sparing_config_announcements", POOL_ENTRY + "config_exchange.cpp", [
        ("return peer == nullptr || now.boot - peer->told_at >= "
         "settings.agent_announcement_interval;", "return true;")]),
    ("pool_config_copy_interval", POOL_AGENT + "config_copies.cpp", [
        ("if (kept.version == 0) return due_at;", "return due_at;")]),
    ("pool_newest_config_copy", POOL_AGENT + "config_copies.cpp", [
        ("if (message.version > kept.version &&", "if (")]),
    ("pool_longest_prefix", "src/core/pool/config.cpp", [
        ("path = path.substr(0, common);", "return nullptr;")]),
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
    ("pool_evacuation_revisions", POOL + "evacuation.cpp", [
        ("return std::tuple(a.revision, a.is_active) > "
         "std::tuple(b.revision, b.is_active);", "return a != b;")]),
    ("pool_evacuations_absent_from_a_list", POOL + "evacuation.cpp", [
        ("is_covered ? registers.read_at : 0", "0")]),
    ("pool_evacuation_of_other_settings", POOL + "evacuation.cpp", [
        ("!Covers(view.data_centres, data_centre) ||", "")]),
    ("pool_evacuation_keys_written_again", POOL + "evacuation.cpp", [
        ("if (known == nullptr || was_active || state.is_active) "
         "++registers.changes;",
         "if (known == nullptr || was_active != state.is_active) "
         "++registers.changes;")]),
    ("pool_answers_to_old_evacuations", POOL_ENTRY + "evacuation.cpp", [
        ("if (update.is_sender_outdated) row.known_evacuation_changes = 0;", "")]),
    ("pool_placement_in_evacuations", POOL_ENTRY + "evacuation.cpp", [
        ("agent.load.accepting && "
         "!IsEvacuated(board.evacuations, agent.hello->data_centre);",
         "agent.load.accepting;")]),
    ("pool_true_refusals_in_evacuations", POOL_ENTRY + "evacuation.cpp", [
        ("if (job.may_have_started || !services.contains(job.service)) continue;",
         "if (!services.contains(job.service)) continue;")]),
    ("pool_admission_after_evacuations", POOL_ENTRY + "evacuation.cpp", [
        ("return ShareOf(agent.hello->capacity, share);",
         "return agent.hello->capacity;")]),
    ("pool_refusal_in_evacuations", POOL_ENTRY + "submission.cpp", [
        ("if (HasOnlyEvacuatedMinions(board, queue->service, now)) {",
         "if (false) {")]),
    ("pool_evacuations_of_new_links", POOL_ENTRY + "advance.cpp", [
        ("ApplyChanges(SendEvacuations(*board_)); "
         "ApplyChanges(RefuseEvacuatedJobs(*board_, now_));", "")]),
    ("pool_starts_in_evacuations", POOL_AGENT + "capacity.cpp", [
        ("if (IsEvacuated(board)) return false;", "")]),
    ("pool_relay_of_evacuations", POOL_AGENT + "evacuation.cpp", [
        ("if (link.known_evacuation_changes >= current) continue;", "continue;")]),
    ("pool_room_after_evacuations", POOL_AGENT + "capacity.cpp", [
        ("if (share <= 0 || share >= 1) return FreeResources(board);",
         "return FreeResources(board);")]),
    ("pool_overload_hysteresis", POOL_ENTRY + "entry_load.cpp", [
        ("was_overloaded ? settings.overload_leave_share",
         "!was_overloaded ? settings.overload_leave_share")]),
    ("pool_offers_limit_forwarding", POOL_ENTRY + "forwarding.cpp", [
        ("row.sent_jobs += it.used;", "")]),
    ("pool_offers_by_load", POOL_ENTRY + "entry_load.cpp", [
        ("std::clamp((settings.offer_limit_share - pressure) / range, 0.0, 1.0);",
         "1.0 + 0 * range;")]),
    ("pool_no_second_forwarding", POOL_ENTRY + "forwarding.cpp", [
        ("!job.forwarded_to && !job.asked_to_take_over && !job.is_from_peer && "
         "!job.is_kept;",
         "!job.forwarded_to && !job.is_kept;")]),
    ("pool_withdrawal_of_forwarded_jobs", POOL_ENTRY + "forwarding.cpp", [
        ("if (!job.forwarded_to) return changes;", "return changes;")]),
    ("pool_runs_of_a_lost_owner", POOL_ENTRY + "forwarding.cpp", [
        ("AddMissingTasks(board, job, job.forwarded_steps, "
         "now.boot + board.settings.max_forwarded_run_time, changes);",
         "AddMissingTasks(board, job, job.forwarded_steps, now.boot, changes);")]),
    ("pool_jobs_of_a_lost_owner", POOL_ENTRY + "forwarding.cpp", [
        ("if (job.forwarded_to != link) continue;", "continue;")]),
    ("pool_jobs_of_a_lost_first_entry", POOL_ENTRY + "forwarded_jobs.cpp", [
        ("if (link == nullptr || now.boot - link->last_received_at >=",
         "if (link != nullptr && now.boot - link->last_received_at >=")]),
    ("pool_jobs_of_a_silent_first_entry", POOL_ENTRY + "forwarded_jobs.cpp", [
        ("board.settings.forwarded_job_timeout) {", "seconds{60}) {")]),
    ("pool_refused_jobs_are_taken_back", POOL_ENTRY + "forwarding.cpp", [
        ("row.open_tasks = AddMissingTasks(board, job, job.forwarded_steps, "
         "BootTime{0}, &changes);", "")]),
    ("pool_older_configuration_of_an_owner", POOL_ENTRY + "forwarded_jobs.cpp", [
        ("if (message.config_version > board.config.version) {", "if (false) {")]),
    ("pool_fewer_load_reports", POOL_AGENT + "links.cpp", [
        ("if (age < link.report_interval) return false;", "")]),
    ("pool_ends_between_load_reports", POOL_ENTRY + "outcomes.cpp", [
        ("row.free += task.needs;", "")]),
    ("pool_stops_of_forwarded_jobs", POOL_AGENT + "runs.cpp", [
        ("if (!message.withholds_lease) return settings.max_requested_stop_time;",
         "return settings.max_requested_stop_time;")]),
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
