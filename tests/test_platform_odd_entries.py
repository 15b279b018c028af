"""Announcements and replies of workers that cannot be used, against real store processes."""

from functools import partial
from json import dumps

from anyio import Event, create_task_group

from siskintally.http_server import HttpApp, HttpResponse, serve_http
from tests.platform_worker import PlatformWorkerApp
from tests.processes import free_ports, wait_until
from tests.test_platform_process import HOSTS, JOB, JOB_PATH, play

DEEP_LISTS = b"[" * 100_000 + b"]" * 100_000
# Nested as deeply as the parser still accepts.
NESTED_LISTS = b"[" * 900 + b"]" * 900
LONG_NUMBER = b"9" * 5000


def odd_bodies(announcement):
    """Return bodies that differ from a valid announcement in one way each."""
    text = dumps(announcement).encode()
    whole = [
        b"",
        b"\xff\xfe",
        b"null",
        b"[]",
        DEEP_LISTS,
        NESTED_LISTS,
        text[:-9],
        b" " * 5_000_000,
    ]
    raw_values = [
        DEEP_LISTS,
        NESTED_LISTS,
        LONG_NUMBER,
        b"1e400",
        b"-1",
        b"NaN",
        b'"\\ud800"',
        b"{}",
    ]
    fields = ("addr", "state", "service", "zone", "capacity", "labels", "clockMs", "seq", "born")
    replaced = [
        text[:-1] + b',"%s":%s}' % (field.encode(), value)
        for field in fields
        for value in raw_values
        if (field, value) != ("capacity", b"{}")
    ]
    addresses = ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "a\0b:80", "a..b:80", "x" * 300]
    addresses += ["127.0.0.1:" + "9" * 5000, ":80", "fe80::1%\0:80", "127.0.0.1:\u00b2"]
    bad_addresses = [dumps({**announcement, "addr": address}).encode() for address in addresses]
    return [*whole, *replaced, *bad_addresses]


def test_odd_announcements_end_no_store_and_change_no_worker(tmp_path):
    """Guards against a record of one worker that ends each leader in turn.

    The record is replicated, so the next leader reads it too.
    """

    async def check(cell, worker):
        pids = {host: cell.processes.popen_by_name[host].pid for host in HOSTS}
        body = PlatformWorkerApp(worker=worker).announcement(f"127.0.0.1:{cell.worker_port}")
        assert (await wait_until(lambda: cell.job("POST", json=JOB), "an answer")) is not None
        statuses = {}
        for host in HOSTS:
            url = f"http://{host}:{cell.control}/instances"
            for odd_body in odd_bodies(body):
                answer = await cell.ask("POST", f"{url}/i-1/heartbeat", content=odd_body)
                statuses[odd_body[-80:]] = answer and answer.status_code
            for odd_body in (
                DEEP_LISTS,
                b'{"born": 1e400}',
                b'{"born": %s}' % LONG_NUMBER,
                b"\xff",
            ):
                answer = await cell.ask("POST", f"{url}/i-1/deregister", content=odd_body)
                statuses[odd_body[-80:]] = answer and answer.status_code
            for worker_id in ("", "o" * 1000, "odd-1"):
                odd = {**body, "addr": "127.0.0.1:99999"} if worker_id == "odd-1" else body
                await cell.ask("POST", f"{url}/{worker_id}/heartbeat", json=odd)

        async def completed():
            await cell.job("POST", "/q/00000000000000ab", json=JOB)
            answer = await cell.job("GET", "/q/00000000000000ab")
            return answer is not None and answer.json() == {"state": "completed"}

        await wait_until(completed, "completed", limit_s=30)
        assert all(cell.processes.popen_by_name[host].poll() is None for host in HOSTS)
        assert pids == {host: cell.processes.popen_by_name[host].pid for host in HOSTS}
        assert set(statuses.values()) <= {400, 413}, statuses
        started = {task for _, event, task, _ in worker.history if event == "START"}
        assert {f"00000000000000ab.0.{task}" for task in ("0.0", "0.1", "1.0")} <= started

    play(tmp_path, check)


class OddReplyApp(HttpApp):
    """Answers each call of the leader with the next of some bodies that cannot be used."""

    def __init__(self):
        row = b'{"clockMs":9,"running":[["f.0.0.0",1,"",%s,0]],"ended":[["x",1,1,[],{}]]}'
        self.bodies = [row % value for value in (b'"x"', LONG_NUMBER, NESTED_LISTS, b"1e400")]
        self.bodies += [DEEP_LISTS, LONG_NUMBER, b"\xff", b"[]", b'{"clockMs":1e400}']
        self.calls = 0

    async def handle(self, request):
        """Answer one call; each body comes with each status in turn."""
        self.calls += 1
        status = (200, 400)[self.calls // len(self.bodies) % 2]
        return HttpResponse(status=status, body=self.bodies[self.calls % len(self.bodies)])


def test_odd_replies_of_one_worker_end_no_store_and_hold_up_no_flow(tmp_path):
    """Guards against a worker whose replies end each leader in turn."""

    async def check(cell, worker):
        pids = {host: cell.processes.popen_by_name[host].pid for host in HOSTS}
        address = f"127.0.0.1:{free_ports(1)[0]}"
        app, stop_event = OddReplyApp(), Event()
        body = {**PlatformWorkerApp(worker=worker).announcement(address), "labels": ["a", "r0"]}
        async with create_task_group() as tasks:
            tasks.start_soon(
                partial(serve_http, app, address=address, stop_event=stop_event, graceful_s=0.1)
            )
            await cell.control_call("POST", "/instances/a-odd/heartbeat", json=body)

            async def completed(path):
                await cell.job("POST", path, json=JOB)
                answer = await cell.job("GET", path)
                return answer is not None and answer.json() == {"state": "completed"}

            await wait_until(partial(completed, JOB_PATH), "completed", limit_s=40)

            async def has_given_each_reply():
                body["seq"] += 1
                await cell.control_call("POST", "/instances/a-odd/heartbeat", json=body)
                return app.calls > len(app.bodies) * 2

            await wait_until(has_given_each_reply, "each reply", limit_s=40)
            last_path = "/q/00000000000000ab"
            await wait_until(partial(completed, last_path), "completed again", limit_s=40)
            stop_event.set()
        assert all(cell.processes.popen_by_name[host].poll() is None for host in HOSTS)
        assert pids == {host: cell.processes.popen_by_name[host].pid for host in HOSTS}

    play(tmp_path, check)
