"""Start, signal, stop and inspect real processes in failure tests."""

from fcntl import LOCK_EX, LOCK_NB, flock
from json import dumps
from os import environ
from pathlib import Path
from random import Random, randrange
from shutil import rmtree
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import socket
from subprocess import Popen, TimeoutExpired
from sys import executable
from tempfile import gettempdir
from time import monotonic

from anyio import sleep

WAIT_LIMIT_S = 90.0
POLL_S = 0.05
STOP_LIMIT_S = 15.0
FIRST_PORT = 10_000
PORTS_PER_RANGE = 2_000
RANGE_COUNT = 11

_returned_ports = set()
_reserved_ranges = []


def free_ports(count):
    """Return free loopback ports; no port is returned twice in one run.

    They are below the ephemeral port range. Otherwise an outgoing connection could take a port
    before the process under test binds it.
    """
    first = _range_start()
    ports = []
    while len(ports) < count:
        port = randrange(first, first + PORTS_PER_RANGE)
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            ports.append(port)
    return ports


def _range_start():
    """Return the first port of a range that no other test process on this machine uses.

    A file lock reserves the range until this process ends, so that pytest workers and concurrent
    test runs do not use the same port.
    """
    if not _reserved_ranges:
        for number in range(RANGE_COUNT):
            file = open(Path(gettempdir()) / f"siskintally-ports-{number}", "w")  # noqa: SIM115
            try:
                flock(file, LOCK_EX | LOCK_NB)
            except BlockingIOError:
                file.close()
                continue
            _reserved_ranges.append((file, FIRST_PORT + number * PORTS_PER_RANGE))
            break
        else:
            raise AssertionError(f"all {RANGE_COUNT} ranges of ports are in use by other tests")
    return _reserved_ranges[0][1]


def _is_free(port):
    with socket() as server:
        try:
            server.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def seeded_random():
    """Return a random generator; prints its seed, which SISKINTALLY_SEED can set."""
    seed = int(environ.get("SISKINTALLY_SEED", randrange(2**32)))
    print(f"SISKINTALLY_SEED={seed}")
    return Random(seed)


async def wait_until(condition, what, *, limit_s=WAIT_LIMIT_S):
    """Poll ``condition`` (a function or coroutine function) until it is true; return its value.

    :param what: the expected condition, for the error message.
    :raises AssertionError: not true within the limit.
    """
    started = monotonic()
    while True:
        value = condition()
        if hasattr(value, "__await__"):
            value = await value
        if value:
            return value
        assert monotonic() - started < limit_s, f"not within {limit_s} s: {what}"
        await sleep(POLL_S)


class Processes:
    """Processes of one test, by name; kills the ones still running at the end of the test.

    Signals only processes that it started.

    :param folder: directory for logs, records and data directories.
    """

    __slots__ = ("folder", "popen_by_name")

    def __init__(self, *, folder):
        self.folder = Path(folder)
        self.popen_by_name = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for popen in self.popen_by_name.values():
            if popen.poll() is None:
                popen.send_signal(SIGKILL)
                popen.wait()

    def start(self, name, *arguments):
        """Start ``siskintally`` with the arguments; stdout and stderr go to ``<name>.log``."""
        assert name not in self.popen_by_name or self.popen_by_name[name].poll() is not None
        with open(self.folder / f"{name}.log", "ab") as log:
            command = [executable, "-m", "siskintally.main", *map(str, arguments)]
            self.popen_by_name[name] = Popen(command, stdout=log, stderr=log)

    def is_running(self, name):
        """Return whether the process has not ended."""
        return self.popen_by_name[name].poll() is None

    def describe(self, name):
        """Return the exit status of a process, or its state as the kernel reports it."""
        popen = self.popen_by_name[name]
        if popen.poll() is not None:
            return f"{name}: ended with status {popen.returncode}"
        lines = Path(f"/proc/{popen.pid}/status").read_text(encoding="utf-8").splitlines()
        kept = ("State", "SigQ", "SigPnd", "ShdPnd", "Threads")
        return f"{name}: " + ", ".join(line for line in lines if line.startswith(kept))

    def handles(self, name, number):
        """Return whether a running process has a handler for a signal or holds the signal back."""
        popen = self.popen_by_name[name]
        if popen.poll() is not None:
            return False
        lines = Path(f"/proc/{popen.pid}/status").read_text(encoding="utf-8").splitlines()
        masks = [line.split()[1] for line in lines if line.startswith(("SigBlk", "SigCgt"))]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def pause(self, name):
        """Send SIGSTOP."""
        self.popen_by_name[name].send_signal(SIGSTOP)

    def resume(self, name):
        """Send SIGCONT."""
        self.popen_by_name[name].send_signal(SIGCONT)

    def kill(self, name, *, record=None):
        """Send SIGKILL and wait until the process has ended.

        :param record: record file of a worker stub; a line with the time of the kill is appended.
        """
        popen = self.popen_by_name[name]
        popen.send_signal(SIGKILL)
        popen.wait()
        if record is not None:
            with open(record, "a", encoding="utf-8") as file:
                file.write(dumps({"t": monotonic(), "event": "killed", "worker": name}) + "\n")

    def stop(self, name):
        """Send SIGTERM and wait until the process has ended.

        :returns: exit code.
        """
        popen = self.popen_by_name[name]
        popen.send_signal(SIGTERM)
        try:
            return popen.wait(STOP_LIMIT_S)
        except TimeoutExpired as error:
            raise AssertionError(f"{name} did not stop within {STOP_LIMIT_S} s") from error

    async def finish(self, name):
        """Send SIGTERM and wait for the exit without blocking the event loop.

        :returns: exit code.
        """
        popen = self.popen_by_name[name]
        popen.send_signal(SIGTERM)
        await wait_until(lambda: popen.poll() is not None, f"{name} stops")
        return popen.returncode

    def remove(self, path):
        """Remove a data directory, which must be below the directory of the test."""
        full = (self.folder / path).resolve()
        assert self.folder.resolve() in full.parents
        rmtree(full)

    def log_text(self, name):
        """Return the log of a process as text."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
