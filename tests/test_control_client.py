"""Calls to the leader of the control group while the leader changes or is unreachable."""

from anyio import create_task_group, fail_after, run, sleep, sleep_forever

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.control_client import ControlClient
from siskintally.control_pb2 import ControlNotice, FlowRead
from siskintally.errors import (
    NotLeaderError,
    OutcomeUnknownError,
    RefusedError,
    UnreachableError,
)
from siskintally.leader_cache import LeaderCache

LIMIT_S = 10.0


class ScriptedStores:
    """Stores with a scripted answer each: a value, an error to raise, or None to hang."""

    def __init__(self, **answer_by_name):
        self.answer_by_name = answer_by_name
        self.called = []
        self.cache = LeaderCache(fresh_s=60.0)
        self.client = ControlClient(cache=self.cache, call=self.call)

    def announce_leader(self, name):
        """Let a store announce that it leads."""
        self.cache.apply_notice(ControlNotice(leads=True), sender=name, now=steady())
        self.client.handle_leader_change()

    async def call(self, name, body, *, timeout):
        """Answer a call, raise an error, or hang."""
        self.called.append(name)
        answer = self.answer_by_name[name]
        if answer is None:
            await sleep_forever()
        if isinstance(answer, Exception):
            raise answer
        return answer


def call_outcome(stores, *, timeout=1.0, meanwhile=None):
    """Return the answer to one call, or its error."""

    async def main():
        with fail_after(LIMIT_S):
            async with create_task_group() as tasks:
                if meanwhile is not None:
                    tasks.start_soon(meanwhile)
                try:
                    answer = await stores.client.call(FlowRead(id="f"), timeout=timeout)
                except Exception as error:
                    answer = error
                tasks.cancel_scope.cancel()
                return answer

    return run(main)


def test_a_call_that_waits_for_a_lost_leader_goes_to_the_next_one_at_once():
    """Guards against requests that wait for a timeout though the next leader is known.

    Scenario: a leader freezes with requests in flight, and the next one is elected meanwhile.
    """
    stores = ScriptedStores(a=None, b="done")
    stores.announce_leader("a")

    async def elect():
        await sleep(0.05)
        stores.announce_leader("b")

    started_at = steady()
    assert call_outcome(stores, timeout=5.0, meanwhile=elect) == "done"
    assert stores.called == ["a", "b"]
    assert steady() - started_at < 1.0


def test_without_a_leader_a_call_is_refused_at_once_as_not_done():
    """Guards against callers that wait for their timeout while no leader is known."""
    stores = ScriptedStores()
    started_at = steady()
    assert isinstance(call_outcome(stores, timeout=5.0), NotLeaderError)
    assert steady() - started_at < 1.0


def test_a_call_that_may_have_had_an_effect_is_never_reported_as_not_done():
    """Guards against a flow that is reported as not accepted although it is stored."""
    stores = ScriptedStores(a=OutcomeUnknownError("cut"))
    stores.announce_leader("a")
    assert isinstance(call_outcome(stores, timeout=0.3), OutcomeUnknownError)
    stores = ScriptedStores(a=RefusedError("leadership was lost", code=Code.OUTCOME_UNKNOWN))
    stores.announce_leader("a")
    assert isinstance(call_outcome(stores, timeout=0.3), OutcomeUnknownError)


def test_a_store_that_does_not_lead_names_the_one_that_does():
    """Guards against calls that keep going to a follower."""
    stores = ScriptedStores(a=RefusedError("no", code=Code.NOT_LEADER, leader="b"), b="done")
    stores.announce_leader("a")
    assert call_outcome(stores) == "done"
    assert stores.called == ["a", "b"]


def test_an_unreachable_leader_is_tried_again_until_the_time_is_over():
    """Guards against a refusal when the link is restored within the caller's timeout."""
    stores = ScriptedStores(a=UnreachableError("no link"))
    stores.announce_leader("a")

    async def restore_link():
        await sleep(0.1)
        stores.answer_by_name["a"] = "done"

    assert call_outcome(stores, meanwhile=restore_link) == "done"


def test_a_refusal_after_an_attempt_that_may_have_run_leaves_the_outcome_unknown():
    """Guards against "no such queue" for a flow that an attempt before the refusal has stored."""
    stores = ScriptedStores(a=OutcomeUnknownError("cut"))
    stores.announce_leader("a")

    async def drop_queue():
        await sleep(0.02)
        stores.answer_by_name["a"] = RefusedError("no such queue", code=Code.NOT_FOUND)

    assert isinstance(call_outcome(stores, meanwhile=drop_queue), OutcomeUnknownError)


def test_a_failed_handler_leaves_the_outcome_unknown():
    """Guards against a call that is reported as not done although its command is committed."""
    stores = ScriptedStores(a=RefusedError("ValueError", code=Code.INTERNAL))
    stores.announce_leader("a")
    assert isinstance(call_outcome(stores, timeout=0.3), OutcomeUnknownError)
