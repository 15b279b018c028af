"""Queues of the group task and of links, and the liveness check of links."""

from anyio import create_task_group, fail_after, run, sleep

from siskintally.inbox import Inbox
from siskintally.liveness import LinkAction, LinkTiming, Liveness
from siskintally.outbox import Outbox

LIMIT_S = 30


def test_message_that_does_not_wake_is_delivered_with_the_next_one():
    """Guards against a keepalive that wakes the task, and against one that is never delivered."""

    async def main():
        inbox = Inbox(max_messages=8)
        received = []

        async def receive():
            received.extend(await inbox.wait_for_items(LIMIT_S, 10))

        with fail_after(LIMIT_S):
            async with create_task_group() as tasks:
                tasks.start_soon(receive)
                await sleep(0.01)
                inbox.put_message("keepalive", wakes=False)
                await sleep(0.01)
                assert not received
                inbox.put_message("entry")
        assert received == ["keepalive", "entry"]
        inbox.put_message("keepalive", wakes=False)
        assert await inbox.wait_for_items(0.01, 10) == ["keepalive"]

    run(main)


def test_items_over_the_limit_of_a_batch_are_due_at_once():
    """Guards against a call left over by a full batch that then waits for the timeout."""

    async def main():
        inbox = Inbox(max_messages=8)
        with fail_after(LIMIT_S / 2):
            for call in ("one", "two"):
                await inbox.put_call(call)
            assert await inbox.wait_for_items(LIMIT_S, 1) == ["one"]
            assert await inbox.wait_for_items(LIMIT_S, 1) == ["two"]

    run(main)


def test_outbox_keeps_the_order_and_refuses_after_its_end():
    """Guards against reordered items, and items accepted when the outbox is full or closed."""

    async def main():
        outbox = Outbox(max_items=2)
        with fail_after(LIMIT_S):
            async with create_task_group() as tasks:
                tasks.start_soon(outbox.wait)
                await sleep(0.01)
                assert outbox.put("one")
            assert outbox.put("two")
            assert not outbox.put("three")
            await outbox.wait()
        assert [outbox.pop(), outbox.pop(), outbox.pop()] == ["one", "two", None]
        outbox.close()
        assert not outbox.put("late")

    run(main)


def test_call_on_a_quiet_link_is_pinged_only_when_its_reply_takes_long():
    """Guards against a ping for each heartbeat, and against a call on a silent link that waits."""
    liveness = Liveness(timing=LinkTiming(idle_ping_s=12.0), now=0.0)
    assert liveness.next_action(10.5, busy_since=10.0) == LinkAction.NONE
    assert liveness.next_action(10.0 + LinkTiming().busy_ping_s, busy_since=10.0) == LinkAction.PING
    assert liveness.next_action(14.1, busy_since=10.0) == LinkAction.CLOSE
