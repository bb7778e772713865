"""Child processes that end with the script, however it ends."""

import ctypes
import os
import signal
import subprocess
import time

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


class ProcessError(Exception):
    """A process could not be started, or ended when it should not."""


def _die_with_parent():
    # A script that is killed cannot clean up; the kernel then ends its children.
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Processes:
    """Starts programs and ends exactly those, by their own process IDs."""

    def __init__(self, log_folder):
        self.log_folder = log_folder
        self.running = {}

    def start(self, name, arguments, environment=None):
        # A process that starts again continues its log.
        log = open(os.path.join(self.log_folder, name + ".log"), "ab")
        with log:
            process = subprocess.Popen(
                [str(it) for it in arguments], stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
                env=os.environ | (environment or {}),
                preexec_fn=_die_with_parent)
        self.running[name] = process
        return process

    def check_alive(self, names=None):
        for name in names or list(self.running):
            status = self.running[name].poll()
            if status is not None:
                raise ProcessError(
                    f"{name} ended with status {status}: {self.tail(name)}")

    def tail(self, name, lines=5):
        path = os.path.join(self.log_folder, name + ".log")
        with open(path, errors="replace") as log:
            return "".join(log.readlines()[-lines:])

    def request_stop(self, name):
        self.running[name].send_signal(signal.SIGTERM)

    def wait(self, name, timeout_s):
        """The exit status, or None when the process still runs."""
        try:
            status = self.running[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        del self.running[name]
        return status

    def kill(self, name):
        self.running[name].kill()
        self.running.pop(name).wait()

    def stop_all(self, grace_s=5.0):
        """Ends what still runs; returns the names that had to be killed."""
        for process in self.running.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + grace_s
        killed = []
        for name, process in self.running.items():
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(name)
        self.running.clear()
        return killed
