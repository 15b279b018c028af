"""Calls of one process to the leader of the control group.

>>> from siskintally.control_client import ControlClient
>>> ControlClient.__name__
'ControlClient'
"""

from anyio import CancelScope, sleep

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.errors import NotLeaderError, OutcomeUnknownError, RefusedError, UnreachableError

RETRY_S = 0.05
# Longest time for one attempt; a call that a leader holds longer is asked again.
ATTEMPT_S = 1.2
# A caller is refused when the leader that is known cannot be reached for this long.
UNREACHED_S = 0.6
# Time for a call whose sender names none: two attempts and the search for another leader.
CALL_S = 2.0


class ControlClient:
    """Finds the leader and calls it; all calls may be sent again.

    :param cache: :class:`~siskintally.leader_cache.LeaderCache`.
    :param call: ``async call(address, body, timeout=seconds)`` that returns the reply.
    """

    __slots__ = ("_cache", "_call", "_scopes")

    def __init__(self, *, cache, call):
        self._cache = cache
        self._call = call
        self._scopes = set()

    def leader_changed(self):
        """Send calls that wait for a former leader to the new one."""
        for scope in list(self._scopes):
            scope.cancel()

    async def call(self, body, *, timeout=CALL_S):
        """Call the leader until it answers or the time is over.

        :param timeout: seconds.
        :raises NotLeaderError: no leader is known and no attempt can have had an effect.
        :raises OutcomeUnknownError: an attempt may have had an effect.
        :raises RefusedError: the leader refused.
        """
        began = steady()
        deadline = began + timeout
        is_unknown = False
        while True:
            leader = self._cache.leader(steady())
            remaining = deadline - steady()
            if remaining <= 0 or (not leader and not is_unknown):
                break
            if leader:
                try:
                    return await self._attempt(leader, body, min(remaining, ATTEMPT_S))
                except OutcomeUnknownError:
                    is_unknown = True
                except UnreachableError:
                    if not is_unknown and steady() - began > UNREACHED_S:
                        raise NotLeaderError(f"{leader}: not reached") from None
                except NotLeaderError as error:
                    self._turn(leader, error.leader)
            await sleep(RETRY_S)
        if is_unknown:
            raise OutcomeUnknownError(f"{type(body).__name__}: no answer in {timeout:.1f} s")
        raise NotLeaderError(f"{type(body).__name__}: no leader is known")

    async def _attempt(self, leader, body, timeout):
        """Call one store; refusals with an unknown outcome or another leader are told apart."""
        scope = CancelScope()
        self._scopes.add(scope)
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
            self._scopes.discard(scope)
        raise OutcomeUnknownError(f"{leader}: another store leads")

    def _turn(self, leader, hint):
        self._cache.disown(leader)
        self._cache.hint(hint, steady())
