"""Child processes of a local cell. Each is stopped by its own process id."""

import dataclasses
import os
import signal
import subprocess
import time

# A process that does not exit within this time after SIGTERM is killed.
STOP_TIMEOUT_S = 30.0


@dataclasses.dataclass
class Process:
    """A child process whose output goes to a log file."""

    name: str
    command: list
    log_path: str
    child: subprocess.Popen


def start(name, command, log_dir):
    """Starts a command. Appends its output to NAME.log in `log_dir`."""
    log_path = os.path.join(log_dir, name + ".log")
    with open(log_path, "ab") as log:
        child = subprocess.Popen(command, stdout=log, stderr=log,
                                 stdin=subprocess.DEVNULL)
    return Process(name, command, log_path, child)


def is_running(process):
    return process.child.poll() is None


def send(process, number):
    """Sends a signal if the process is still running."""
    if is_running(process):
        process.child.send_signal(number)


def kill(process):
    """Kills a process without a shutdown, like a crash."""
    send(process, signal.SIGKILL)
    process.child.wait()


def wait(process, timeout_s=STOP_TIMEOUT_S):
    """Waits for the process to exit. Returns the exit code, or None on
    timeout."""
    try:
        return process.child.wait(timeout_s)
    except subprocess.TimeoutExpired:
        return None


def stop(process, timeout_s=STOP_TIMEOUT_S):
    """Stops a process with SIGTERM. Returns the exit code, or None if the
    process had to be killed."""
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
    """Waits until the condition is true and returns its value. Raises a
    TimeoutError that contains `what` otherwise."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(
                f"timed out after {timeout_s} s waiting for {what}")
        time.sleep(0.05)
