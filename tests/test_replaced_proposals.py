"""Calls to a leader whose entry was replaced while it was paused (issue 40, 1)."""

from anyio import Event, create_task_group
from pytest import mark

from siskintally.errors import NotLeaderError, OutcomeUnknownError
from siskintally.inbox import Inbox
from siskintally.messages import AppendRequest
from tests.test_group import NAMES, run_with_cluster

INBOX_MESSAGES = 10_000


class PausableInbox(Inbox):
    """An inbox whose reader can be paused, as a stopped process is, while messages arrive."""

    def __init__(self):
        super().__init__(max_messages=INBOX_MESSAGES)
        self._resume_event = None

    def pause(self):
        """Hold the reader back at its next wake-up."""
        self._resume_event = Event()

    def resume(self):
        """Let the reader handle all that has arrived as one batch."""
        self._resume_event.set()

    def highest_commit(self):
        """Return the highest index that a queued message of a leader says is committed."""
        messages = [getattr(item, "message", None) for _, item in self._items]
        appends = [message for message in messages if isinstance(message, AppendRequest)]
        return max((append.commit for append in appends), default=0)

    async def wait_for_items(self, timeout, max_items):
        """Wait for items, and while the reader is paused."""
        items = await super().wait_for_items(timeout, max_items)
        if self._resume_event is not None:
            await self._resume_event.wait()
            self._resume_event = None
            items += self.drain(max_items)
        return items


async def record_outcome(outcomes, call, *arguments):
    """Record the reply of a call, or the type of its error."""
    try:
        outcomes.append(await call(*arguments))
    except (NotLeaderError, OutcomeUnknownError) as error:
        outcomes.append(type(error))


async def replace_leader(cluster, leader, outcomes, tasks, *, calls):
    """Let a leader accept calls that reach nobody, and be replaced while it is paused.

    :returns: the next leader, of whose entry and commit the former one has messages in its inbox.
    """
    cluster.muted = {leader.process}
    for call in calls:
        tasks.start_soon(record_outcome, outcomes, *call)
    await cluster.wait_until(lambda: not leader._calls.is_empty)
    leader._inbox.pause()
    next_leader = await cluster.leader(other_than=leader)
    await next_leader.propose(b"later")
    await cluster.wait_until(lambda: leader._inbox.highest_commit() > leader.applied_index)
    return next_leader


async def resume(cluster, leader, next_leader, *, loses_replies):
    """Let the former leader handle what it has heard meanwhile in one batch."""
    cluster.muted = {leader.process} if loses_replies else set()
    leader._inbox.resume()
    await cluster.wait_until(lambda: leader.term == next_leader.term)
    cluster.muted = set()
    await cluster.wait_until(lambda: leader.applied_index >= next_leader.applied_index)


def outcomes_of(folder, calls, *, loses_replies=False):
    """Return the outcomes of calls to a leader that is replaced while it is paused.

    All members have then applied the command of the next leader alone.

    :param calls: function that returns the calls to make, as (method, *arguments), from the leader.
    """
    outcomes = []

    async def scenario(cluster):
        leader = await cluster.wait_until_joined()
        async with create_task_group() as tasks:
            next_leader = await replace_leader(
                cluster, leader, outcomes, tasks, calls=calls(leader)
            )
            await resume(cluster, leader, next_leader, loses_replies=loses_replies)
        await cluster.wait_until(lambda: all(cluster.commands(name) == ["later"] for name in NAMES))

    run_with_cluster(folder, scenario, inbox=PausableInbox)
    return outcomes


@mark.parametrize("loses_replies", [False, True], ids=["replies arrive", "replies are lost"])
def test_a_proposal_whose_entry_was_replaced_is_not_acknowledged(tmp_path, loses_replies):
    """Guards against a caller that is told that a command is stored which is in no log."""
    outcomes = outcomes_of(
        tmp_path, lambda leader: [(leader.propose, b"lost")], loses_replies=loses_replies
    )
    assert outcomes == [OutcomeUnknownError]


@mark.parametrize("count", [2, 5])
def test_several_proposals_whose_entries_were_replaced_are_not_acknowledged(tmp_path, count):
    """Guards against a reply of another command, also beyond the end of the next leader's log."""
    outcomes = outcomes_of(
        tmp_path, lambda leader: [(leader.propose, b"lost%d" % n) for n in range(count)]
    )
    assert outcomes == [OutcomeUnknownError] * count


def test_a_read_of_a_replaced_leader_is_not_confirmed(tmp_path):
    """Guards against a read that a round of a later term confirms."""
    outcomes = outcomes_of(tmp_path, lambda leader: [(leader.confirm_leadership,)])
    assert outcomes == [NotLeaderError]
