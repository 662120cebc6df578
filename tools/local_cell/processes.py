"""Processes that a local cell consists of. Each is ended by its own id."""

import dataclasses
import os
import signal
import subprocess
import time

# A process that ignores SIGTERM for longer is killed.
STOP_TIMEOUT_S = 30.0


@dataclasses.dataclass
class Process:
    """A process that was started here, with its output in a file."""

    name: str
    command: list
    log_path: str
    child: subprocess.Popen


def start(name, command, log_dir):
    """Starts a command whose output is appended to a file of its name."""
    log_path = os.path.join(log_dir, name + ".log")
    with open(log_path, "ab") as log:
        child = subprocess.Popen(command, stdout=log, stderr=log,
                                 stdin=subprocess.DEVNULL)
    return Process(name, command, log_path, child)


def is_running(process):
    return process.child.poll() is None


def send(process, number):
    """Sends a signal, if the process still runs."""
    if is_running(process):
        process.child.send_signal(number)


def kill(process):
    """Ends a process at once, as a crash does."""
    send(process, signal.SIGKILL)
    process.child.wait()


def wait(process, timeout_s=STOP_TIMEOUT_S):
    """Waits for the end. Returns the exit code, or None if it still runs."""
    try:
        return process.child.wait(timeout_s)
    except subprocess.TimeoutExpired:
        return None


def stop(process, timeout_s=STOP_TIMEOUT_S):
    """Asks a process to stop and waits. Returns None if it had to be killed."""
    send(process, signal.SIGCONT)
    send(process, signal.SIGTERM)
    code = wait(process, timeout_s)
    if code is None:
        kill(process)
    return code


def log_tail(process, lines=15):
    with open(process.log_path, "rb") as log:
        text = log.read().decode("utf-8", "replace")
    return "\n".join(text.splitlines()[-lines:])


def wait_until(condition, timeout_s, what):
    """Waits for a condition; raises a TimeoutError that names it."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout_s} s in vain for {what}")
        time.sleep(0.05)
