"""Tests of the test tools: the checker finds each violation, the forwarder applies each fault."""

from json import dumps
from time import monotonic

import pytest
from anyio import (
    BrokenResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    fail_after,
    move_on_after,
    run,
)

from siskintally.codes import Code
from tests.checker import Answer, check_requests, check_workers, read
from tests.forwarder import Forwarder
from tests.processes import free_ports, wait_until

SIZE = {"cpu_milli": 1000, "memory_mb": 100, "accelerators": 0}


def event(t, worker, kind, task="t1", attempt=1, **size):
    return {"t": t, "worker": worker, "event": kind, "task": task, "attempt": attempt} | SIZE | size


def test_checker_accepts_a_task_that_moves_after_its_end(tmp_path):
    """Guards against a false violation when a task runs elsewhere after a stop or a kill.

    The last line of the file is torn, as after the kill of the process that writes it.
    """
    lines = [
        event(0, "a", "capacity"),
        event(0, "b", "capacity"),
        event(1, "a", "start"),
        event(2, "a", "stop"),
        event(3, "b", "start", attempt=2),
        event(4, "b", "killed"),
        event(5, "a", "start", attempt=3),
    ]
    path = tmp_path / "records"
    path.write_text("\n".join(map(dumps, lines)) + '\n{"t": 6, "ev')
    assert check_workers(read(path)) == []


@pytest.mark.parametrize(
    "second",
    [event(2, "b", "start", attempt=2), event(2, "a", "start", task="t2", memory_mb=0)],
    ids=["two places", "overcommitted"],
)
def test_checker_finds_wrong_placement(second):
    """Guards against a checker that misses a task in two places or an overcommitted worker."""
    records = [event(0, "a", "capacity"), event(0, "b", "capacity"), event(1, "a", "start"), second]
    assert len(check_workers(records)) == 1


def test_checker_finds_wrong_requests():
    """Guards against a checker that misses one of four faults.

    The faults are a key that runs twice, a request that runs though it was answered "not run", a
    wrong body, and a request that was answered as done but never ran.
    """
    records = [
        {"t": 1, "event": "start", "endpoint": "p", "request_id": "1", "key": "k"},
        {"t": 2, "event": "start", "endpoint": "q", "request_id": "2", "key": "k"},
        {"t": 3, "event": "start", "endpoint": "q", "request_id": "3", "key": ""},
    ]
    answers = [
        Answer(request_id="1", code=Code.DONE, body=b"one", expected=b"one", key="k"),
        Answer(request_id="2", code=Code.OVERLOADED, key="k"),
        Answer(request_id="3", code=Code.DONE, body=b"on", expected=b"one"),
        Answer(request_id="4", code=Code.DONE, body=b"", expected=b""),
    ]
    assert len(check_requests(records, answers)) == 4


async def _echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


def with_forwarder(check):
    """Run ``await check(forwarder)`` with a forwarder in front of an echo server."""

    async def main():
        port, target = free_ports(2)
        forwarder = Forwarder(port=port, target=target)
        with fail_after(30):
            async with create_task_group() as tasks:
                listener = await create_tcp_listener(local_host="127.0.0.1", local_port=target)
                tasks.start_soon(listener.serve, _echo)
                tasks.start_soon(forwarder.run)
                await wait_until(lambda: server_answers(port), "forwarder listens")
                await check(forwarder)
                tasks.cancel_scope.cancel()

    run(main)


async def server_answers(port):
    """Return whether a new connection to the port is answered."""
    try:
        return await is_answered(await connect_tcp("127.0.0.1", port))
    except OSError:
        return False


async def is_answered(stream):
    """Return whether the server echoes a byte within a second."""
    with move_on_after(1.0):
        await stream.send(b"x")
        return await stream.receive() == b"x"
    return False


def test_silence_affects_present_connections_only():
    """Guards against a forwarder whose silence also affects new connections, or has no effect."""

    async def check(forwarder):
        old = await connect_tcp("127.0.0.1", forwarder.port)
        assert await is_answered(old)
        forwarder.silence()
        assert not await is_answered(old)
        assert await server_answers(forwarder.port)

    with_forwarder(check)


def test_blocked_direction_delivers_after_healing():
    """Guards against a partition that loses bytes, which TCP would deliver after it."""

    async def check(forwarder):
        stream = await connect_tcp("127.0.0.1", forwarder.port)
        forwarder.block("to_client")
        assert not await is_answered(stream)
        forwarder.heal()
        assert await stream.receive() == b"x"

    with_forwarder(check)


def test_cut_refuses_until_healed():
    """Guards against a cut that lets new connections through, or that does not end."""

    async def check(forwarder):
        await forwarder.cut()
        with pytest.raises((EndOfStream, BrokenResourceError)):
            await is_answered(await connect_tcp("127.0.0.1", forwarder.port))
        forwarder.heal()
        assert await server_answers(forwarder.port)

    with_forwarder(check)


def test_a_limited_forwarder_delivers_at_its_bandwidth():
    """Guards against a bandwidth limit that has no effect or delays more than the link would."""
    sent = bytes(250_000)

    async def check(forwarder):
        forwarder.bytes_per_s = 250_000
        stream = await connect_tcp("127.0.0.1", forwarder.port)
        started_at = monotonic()
        received_count = 0
        async with create_task_group() as tasks:
            tasks.start_soon(stream.send, sent)
            while received_count < len(sent):
                received_count += len(await stream.receive())
        assert 0.95 < monotonic() - started_at < 1.5

    with_forwarder(check)
