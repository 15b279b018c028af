"""The platform commands as real processes on loopback, with a stand-in for a worker."""

from functools import partial

from anyio import Event, create_task_group, run, sleep
from httpx import AsyncClient, HTTPError

from siskintally.clock import now as steady
from siskintally.http_server import serve_http
from siskintally.stub_pool import StubPool
from tests.platform_worker import PlatformWorkerApp
from tests.processes import Processes, free_ports, wait_until

HOSTS = ("127.0.0.31", "127.0.0.32", "127.0.0.33")
ENTRY = "127.0.0.34"
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500}, {"count": 1, "cpu": 500, "after": [0]}]}
LASTING_JOB = {"spec": "x", "steps": [{"count": 1, "cpu": 500, "longRunning": True}]}
JOB_PATH = "/q/0123456789abcdef"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "pathPrefix": "/q/",
            "service": "s",
            "timeoutMs": 3000,
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "s"}],
}


class PlatformCell:
    """Three stores and an entry, each in a process of its own."""

    def __init__(self, *, processes):
        self.processes = processes
        link, self.control, self.callers, self.ready, self.worker_port = free_ports(5)
        seeds = ", ".join(f'"{host}:{self.control}"' for host in HOSTS)
        self.common = f'domain = "d"\nlink_port = {link}\nseeds = [{seeds}]\nfounding = true\n'
        self.client = None

    def start(self):
        """Start all processes."""
        for host in HOSTS:
            own_settings = (
                f'control = "{host}:{self.control}"\ndata = "{self.processes.folder}/{host}"\n'
            )
            self._start(host, "platform-store", own_settings)
        own_settings = f'callers = "{ENTRY}:{self.callers}"\nready = "{ENTRY}:{self.ready}"\n'
        self._start(ENTRY, "platform-entry", own_settings)

    def _start(self, host, command, own_settings):
        path = self._write_settings(host, own_settings)
        self.processes.start(host, command, f"--settings={path}")

    def _write_settings(self, host, own_settings):
        path = self.processes.folder / f"{host}.toml"
        path.write_text(f'name = "{host}"\nip = "{host}"\n{self.common}{own_settings}')
        return path

    async def ask(self, method, url, **arguments):
        """Send a request; None if there is no answer."""
        try:
            return await self.client.request(method, url, **arguments)
        except HTTPError:
            return None

    async def control_call(self, method, path, **arguments):
        """Call any store until one accepts."""

        async def accepted():
            for host in HOSTS:
                answer = await self.ask(method, f"http://{host}:{self.control}{path}", **arguments)
                if answer is not None and answer.status_code == 200:
                    return answer
            return None

        return await wait_until(accepted, path)

    async def job(self, method, path=JOB_PATH, *, host="jobs.example", **arguments):
        """Send a request of a caller to the entry."""
        url = f"http://{ENTRY}:{self.callers}{path}"
        return await self.ask(method, url, headers={"Host": host}, **arguments)


def play(tmp_path, check):
    """Run a check against a cell of processes and one worker."""

    async def main():
        with Processes(folder=tmp_path) as processes:
            cell = PlatformCell(processes=processes)
            cell.start()
            worker = StubPool(clock=steady).add("i-1", cpu_milli=4000, memory_mb=4000)
            app = PlatformWorkerApp(worker=worker)
            address = f"127.0.0.1:{cell.worker_port}"
            stop_event = Event()
            async with create_task_group() as tasks, AsyncClient() as cell.client:
                tasks.start_soon(
                    partial(serve_http, app, address=address, stop_event=stop_event, graceful_s=0.1)
                )
                await cell.control_call("POST", "/config/replace", json=CONFIG)
                announcement = app.announcement(address)
                await cell.control_call("POST", "/instances/i-1/heartbeat", json=announcement)
                await check(cell, worker)
                stop_event.set()

    run(main)


def test_a_job_is_accepted_run_and_shown_as_completed_by_real_processes(tmp_path):
    """Guards against commands that do not start, and a fault anywhere on the path of a job."""

    async def check(cell, worker):
        async def accepted():
            answer = await cell.job("POST", json=JOB)
            return answer is not None and answer.status_code == 200

        await wait_until(accepted, "accepted")

        async def completed():
            answer = await cell.job("GET")
            return answer is not None and answer.json() == {"state": "completed"}

        await wait_until(completed, "completed")
        assert [event for _, event, _, _ in worker.history].count("START") == 3
        assert (await cell.job("GET", "/q/ffffffffffffffff")).status_code == 410
        assert (await cell.job("GET", "/other/")).status_code == 404
        assert (await cell.job("POST", json={"steps": 5})).status_code == 400
        assert (await cell.job("GET", "/q/")).json() == {"pending": 0}
        assert (await cell.control_call("GET", "/config/get")).json() == CONFIG

    play(tmp_path, check)


def test_a_planned_stop_of_a_leader_loses_nothing_and_ends_with_status_0(tmp_path):
    """Guards against a stop that ends with an error or leaves the group without a leader."""

    async def check(cell, worker):
        for host in HOSTS[:1]:
            assert await cell.processes.finish(host) == 0
        answer = await cell.control_call("GET", "/config/get")
        assert answer.json()["version"] == 7
        assert await cell.processes.finish(ENTRY) == 0

    play(tmp_path, check)


def test_each_caller_of_an_entry_gets_the_answer_to_its_own_request(tmp_path):
    """Guards against answers of the leader that reach another caller when many are on the way."""
    paths = [f"/q/{number:016x}" for number in range(40)]

    async def check(cell, worker):
        async def entry_is_ready():
            answer = await cell.job("POST", json=JOB)
            return answer is not None and answer.status_code == 200

        await wait_until(entry_is_ready, "accepted")
        state_by_path = {}

        async def use(path, number):
            # A job that lasts cannot be completed before its cancellation arrives.
            job = LASTING_JOB if number % 2 else JOB
            assert (await cell.job("POST", path, json=job)).status_code == 200
            if number % 2:
                assert (await cell.job("DELETE", path)).status_code == 200
            state_by_path[path] = (await cell.job("GET", path)).json()["state"]
            assert (await cell.job("GET", f"/q/{number + 4096:016x}")).status_code == 410

        async with create_task_group() as tasks:
            for number, path in enumerate(paths):
                tasks.start_soon(use, path, number)
        cancelled = [path for path in paths if state_by_path[path] == "cancelled"]
        assert cancelled == paths[1::2]

    play(tmp_path, check)


def test_a_planned_stop_of_an_entry_answers_what_is_in_flight(tmp_path):
    """Guards against a caller that is cut off while its request waits for the leader."""

    async def check(cell, worker):
        async def entry_is_ready():
            answer = await cell.job("POST", json=JOB)
            return answer is not None and answer.status_code == 200

        await wait_until(entry_is_ready, "accepted")
        answers = []

        async def hand_in():
            answers.append(await cell.job("POST", "/q/00000000000000aa", json=JOB, timeout=10.0))

        async with create_task_group() as tasks:
            # Without a quorum the request stays at the leader.
            for host in HOSTS[:2]:
                cell.processes.pause(host)
            tasks.start_soon(hand_in)
            await sleep(0.3)
            assert not answers
            tasks.start_soon(cell.processes.finish, ENTRY)
            await sleep(0.5)
            for host in HOSTS[:2]:
                cell.processes.resume(host)
        assert answers[0] is not None, "the connection ended without an answer"
        assert answers[0].status_code in (200, 503, 504)

    play(tmp_path, check)
