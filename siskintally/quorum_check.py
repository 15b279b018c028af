"""Quorum check of a leader: a quorum is known to follow it at present.

>>> from siskintally.quorum_check import AUTHORITY_SHARE
>>> 0 < AUTHORITY_SHARE < 1
True
"""

from anyio import Event, move_on_after, sleep

from siskintally.clock import now as steady

# Nobody else can be elected while a quorum has heard this leader within the shortest election
# timeout, or a share of it that is larger than this one if its process has ended. The rest covers
# clocks that differ, and members that forget it by a restart.
AUTHORITY_SHARE = 0.5
CONFIRM_S = 0.15


class QuorumCheck:
    """Rounds that a quorum answers, and how long each lets a leader act.

    :param group: :class:`~siskintally.group.Group` whose replica leads.
    :param election_min_s: shortest election timeout of the group.
    """

    __slots__ = ("_confirmed", "_election_min_s", "_group", "_until")

    def __init__(self, *, group, election_min_s):
        self._group = group
        self._election_min_s = election_min_s
        self._until = 0.0
        self._confirmed = Event()

    async def run(self):
        """Confirm the authority again and again.

        :raises SiskintallyError: it is lost.
        """
        while True:
            asked_at = steady()
            with move_on_after(self._election_min_s * 2) as scope:
                await self._group.confirm_leadership()
            if not scope.cancelled_caught:
                self._until = asked_at + self._election_min_s * AUTHORITY_SHARE
                self._confirmed.set()
                self._confirmed = Event()
            await sleep(CONFIRM_S)

    async def wait(self):
        """Return once a quorum is known to follow; the term ends otherwise."""
        while steady() >= self._until:
            await self._confirmed.wait()
