"""Calls of one process to the leader of the control group.

>>> from siskintally.control_client import ControlClient
>>> ControlClient.__name__
'ControlClient'
"""

from anyio import CancelScope, sleep

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.errors import NotLeaderError, OutcomeUnknownError, RefusedError, UnreachableError

RETRY_DELAY_S = 0.05
# Longest time for one attempt; a call that a leader holds longer is asked again.
ATTEMPT_TIMEOUT_S = 1.2
# A caller is refused when the leader that is known cannot be reached for this long.
UNREACHABLE_LIMIT_S = 0.6
# Time for a call whose sender names none: two attempts and the search for another leader.
DEFAULT_TIMEOUT_S = 2.0


class ControlClient:
    """Finds the leader and calls it; all calls may be sent again.

    :param cache: :class:`~siskintally.leader_cache.LeaderCache`.
    :param call: ``async call(address, body, timeout=seconds)`` that returns the reply.
    """

    __slots__ = ("_attempt_scopes", "_cache", "_call")

    def __init__(self, *, cache, call):
        self._cache = cache
        self._call = call
        self._attempt_scopes = set()

    def handle_leader_change(self):
        """Send calls that wait for a former leader to the new one."""
        for scope in list(self._attempt_scopes):
            scope.cancel()

    async def call(self, body, *, timeout=DEFAULT_TIMEOUT_S):
        """Call the leader until it answers or the time is over.

        :param timeout: seconds.
        :raises NotLeaderError: no leader is known and no attempt can have had an effect.
        :raises OutcomeUnknownError: an attempt may have had an effect.
        :raises RefusedError: the leader refused.
        """
        started_at = steady()
        deadline = started_at + timeout
        may_have_effect = False
        while True:
            leader = self._cache.leader(steady())
            remaining = deadline - steady()
            if remaining <= 0 or (not leader and not may_have_effect):
                break
            if leader:
                try:
                    return await self._attempt(leader, body, min(remaining, ATTEMPT_TIMEOUT_S))
                except OutcomeUnknownError:
                    may_have_effect = True
                except UnreachableError:
                    if not may_have_effect and steady() - started_at > UNREACHABLE_LIMIT_S:
                        raise NotLeaderError(f"{leader}: not reached") from None
                except NotLeaderError as error:
                    self._follow_refusal(leader, error.leader)
            await sleep(RETRY_DELAY_S)
        if may_have_effect:
            raise OutcomeUnknownError(f"{type(body).__name__}: no answer in {timeout:.1f} s")
        raise NotLeaderError(f"{type(body).__name__}: no leader is known")

    async def _attempt(self, leader, body, timeout):
        """Call one store; refusals with an unknown outcome or another leader are told apart."""
        scope = CancelScope()
        self._attempt_scopes.add(scope)
        try:
            with scope:
                return await self._call(leader, body, timeout=timeout)
        except RefusedError as error:
            if error.code == Code.OUTCOME_UNKNOWN:
                raise OutcomeUnknownError(str(error)) from error
            if error.code == Code.NOT_LEADER:
                raise NotLeaderError(str(error), leader=error.leader) from error
            raise
        finally:
            self._attempt_scopes.discard(scope)
        raise OutcomeUnknownError(f"{leader}: another store leads")

    def _follow_refusal(self, leader, hint):
        self._cache.reject_leader(leader)
        self._cache.apply_hint(hint, steady())
