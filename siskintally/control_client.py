"""Client for calls to the leader of the control group; finds the leader and retries.

>>> from siskintally.control_client import ControlClient
>>> ControlClient.__name__
'ControlClient'
"""

from anyio import CancelScope, sleep

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.errors import NotLeaderError, OutcomeUnknownError, RefusedError, UnreachableError

RETRY_DELAY_S = 0.05
# Timeout of one attempt; after it, the call is repeated.
ATTEMPT_TIMEOUT_S = 1.2
# Time for which the cached leader may be unreachable before the call is refused.
UNREACHABLE_LIMIT_S = 0.6
# Default timeout of a call: long enough for two attempts and a change of leaders between them.
DEFAULT_TIMEOUT_S = 2.0


class ControlClient:
    """Calls the current leader; retries calls, which must all be idempotent.

    :param cache: :class:`~siskintally.leader_cache.LeaderCache`.
    :param call: ``async call(address, body, timeout=seconds)`` that returns the reply.
    :param has_link: function that returns whether a link to any store is open.
    """

    __slots__ = ("_attempt_scopes", "_cache", "_call", "_has_link")

    def __init__(self, *, cache, call, has_link=lambda: True):
        self._cache = cache
        self._call = call
        self._has_link = has_link
        self._attempt_scopes = set()

    def handle_leader_change(self):
        """Redirect calls that wait for the former leader to the new one."""
        for scope in list(self._attempt_scopes):
            scope.cancel()

    async def wait_for_leader(self, *, timeout):
        """Wait until a leader has announced itself recently; return whether one has.

        A call that is sent to a lost leader may have had an effect, so its caller cannot be told
        to send it again; one that waits here is refused truthfully. Without a link to any store
        there is nothing to wait for.

        :param timeout: seconds.
        """
        deadline = steady() + timeout
        while not self._cache.is_current(steady()):
            if steady() >= deadline or not self._has_link():
                return False
            await sleep(RETRY_DELAY_S)
        return True

    async def call(self, body, *, timeout=DEFAULT_TIMEOUT_S):
        """Call the leader until it replies or the timeout expires.

        :param timeout: seconds.
        :raises NotLeaderError: no leader is known or reachable, and no attempt had an effect.
        :raises OutcomeUnknownError: an attempt may have had an effect.
        :raises RefusedError: the leader refused, and no earlier attempt can have had an effect.
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
                        raise NotLeaderError(f"{leader}: leader is unreachable") from None
                except NotLeaderError as error:
                    self._follow_refusal(leader, error.leader)
                except RefusedError as error:
                    if not may_have_effect:
                        raise
                    raise OutcomeUnknownError(f"refused, but may have run: {error}") from error
            await sleep(RETRY_DELAY_S)
        if may_have_effect:
            raise OutcomeUnknownError(f"{type(body).__name__}: no reply within {timeout:.1f} s")
        raise NotLeaderError(f"{type(body).__name__}: no leader is known or reachable")

    async def _attempt(self, leader, body, timeout):
        """Call one store; raise refusals that allow a retry as their own error types."""
        scope = CancelScope()
        self._attempt_scopes.add(scope)
        try:
            with scope:
                return await self._call(leader, body, timeout=timeout)
        except RefusedError as error:
            # A handler that fails may have committed its command before.
            if error.code in (Code.OUTCOME_UNKNOWN, Code.INTERNAL):
                raise OutcomeUnknownError(str(error)) from error
            if error.code == Code.NOT_LEADER:
                raise NotLeaderError(str(error), leader=error.leader) from error
            raise
        finally:
            self._attempt_scopes.discard(scope)
        raise OutcomeUnknownError(f"{leader}: replaced by another leader during the call")

    def _follow_refusal(self, leader, hint):
        self._cache.reject_leader(leader)
        self._cache.apply_hint(hint, steady())
