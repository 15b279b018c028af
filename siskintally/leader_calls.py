"""Calls of one process to the leader of the control group.

>>> from siskintally.leader_calls import LeaderCalls
>>> LeaderCalls.__name__
'LeaderCalls'
"""

from anyio import sleep

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.errors import NotLeaderError, OutcomeUnknownError, RefusedError, UnreachableError
from siskintally.log import get_logger

RETRY_S = 0.05
# Longest time for one attempt; a call that a leader holds longer is asked again.
ATTEMPT_S = 1.2

log = get_logger("leader-calls")


class LeaderCalls:
    """Finds the leader and calls it; all calls may be sent again.

    :param book: :class:`~siskintally.leader_book.LeaderBook`.
    :param call: ``async call(address, body, timeout=seconds)`` that returns the reply.
    """

    __slots__ = ("_book", "_call")

    def __init__(self, *, book, call):
        self._book = book
        self._call = call

    async def call(self, body, *, timeout):
        """Call the leader until it answers or the time is over.

        :raises NotLeaderError: no leader is known and no attempt can have had an effect.
        :raises OutcomeUnknownError: an attempt may have had an effect.
        :raises RefusedError: the leader refused.
        """
        deadline = steady() + timeout
        is_unknown = False
        while True:
            leader = self._book.leader(steady())
            remaining = deadline - steady()
            if remaining <= 0 or (not leader and not is_unknown):
                break
            if leader:
                try:
                    return await self._call(leader, body, timeout=min(remaining, ATTEMPT_S))
                except OutcomeUnknownError:
                    is_unknown = True
                except UnreachableError:
                    log.debug("leader not reached", leader=leader)
                except NotLeaderError as error:
                    self._turn(leader, error.leader)
                except RefusedError as error:
                    if error.code == Code.OUTCOME_UNKNOWN:
                        is_unknown = True
                    elif error.code == Code.NOT_LEADER:
                        self._turn(leader, error.leader)
                    else:
                        raise
            await sleep(RETRY_S)
        if is_unknown:
            raise OutcomeUnknownError(f"{type(body).__name__}: no answer in {timeout:.1f} s")
        raise NotLeaderError(f"{type(body).__name__}: no leader is known")

    def _turn(self, leader, hint):
        self._book.disown(leader)
        self._book.hint(hint, steady())
