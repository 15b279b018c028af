"""Entries of a leader that a thread syncs while its replica goes on."""

from threading import Event as ThreadEvent

from anyio import create_task_group, fail_after, run, sleep
from pytest import raises

from siskintally.write_behind import WriteBehind


def run_beside_writer(write, check):
    """Run a writer, and a check beside it."""

    async def main():
        writer = WriteBehind(write=write, wake=lambda: None)
        with fail_after(10):
            async with create_task_group() as tasks:
                tasks.start_soon(writer.run)
                await check(writer)
                tasks.cancel_scope.cancel()

    run(main)


def test_entries_are_written_in_order_and_reported_once():
    """Guards against a log on disk that differs from the one in memory."""
    written = []

    async def check(writer):
        for number in range(5):
            writer.add([number], (number, 1))
            await sleep(0)
        assert not writer.is_idle
        await writer.drain()
        assert written == [0, 1, 2, 3, 4]
        assert writer.pop_written() == (4, 1)
        assert writer.pop_written() is None

    run_beside_writer(lambda effects: written.extend(effects.entries), check)


def test_entries_that_are_not_on_disk_are_not_reported():
    """Guards against a leader that counts itself before its sync."""
    may_write = ThreadEvent()

    async def check(writer):
        writer.add(["a"], (1, 1))
        await sleep(0.1)
        assert writer.pop_written() is None
        assert writer.sync_duration_s(1e9) > 0
        may_write.set()
        await writer.drain()
        assert writer.pop_written() == (1, 1)

    run_beside_writer(lambda effects: may_write.wait(5), check)


def test_an_error_of_the_disk_ends_the_replica():
    """Guards against a leader that keeps running after its own disk has failed."""

    def write(effects):
        raise OSError("input/output error")

    async def check(writer):
        writer.add(["a"], (1, 1))
        with raises(OSError):
            await writer.drain()
        with raises(OSError):
            writer.pop_written()

    run_beside_writer(write, check)
