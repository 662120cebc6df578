"""The record of what was sent, answered and run."""

import time


class Run:
    """A run of a task on a minion, with times in seconds since the record's begin."""

    def __init__(self, minion, task, number, begin_s):
        self.minion = minion
        self.task = task
        self.number = number
        self.begin_s = begin_s
        self.end_s = None
        self.how = None

    @property
    def job(self):
        return self.task.split(".")[0]


class Recorder:
    """Writes one line for each event to a file and keeps the runs for the checks."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()
        self.runs = []

    def now_s(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now_s() * 1000:10.1f} ms  {text}\n")
        self.file.flush()

    def begin_run(self, minion, task, number):
        run = Run(minion, task, number, self.now_s())
        self.runs.append(run)
        self.write(f"minion {minion} begins run {number} of task {task}")
        return run

    def end_run(self, run, how):
        run.end_s = self.now_s()
        run.how = how
        self.write(
            f"minion {run.minion} ends run {run.number} of task {run.task}: {how}"
        )

    def runs_of(self, job):
        return [run for run in self.runs if run.job == job]

    def overlaps(self):
        """Returns the pairs of runs of one task that were at work at the same time,
        and for how many seconds."""
        pairs = []
        for n, first in enumerate(self.runs):
            for second in self.runs[n + 1:]:
                if first.task != second.task:
                    continue
                begin = max(first.begin_s, second.begin_s)
                end = min(first.end_s or self.now_s(), second.end_s or self.now_s())
                if end > begin:
                    pairs.append((first, second, end - begin))
        return pairs
