"""Quorum check of a leader: confirms at intervals that a quorum still follows it.

>>> from siskintally.quorum_check import CONFIRMED_LEADER_SHARE
>>> 0 < CONFIRMED_LEADER_SHARE < 1
True
"""

from anyio import Event, move_on_after, sleep

from siskintally.clock import now as steady

# Share of the shortest election timeout for which a confirmation by a quorum lets the leader act.
# While a quorum has heard from this leader within that timeout, no other leader can be elected.
# Members that see the leader's process exit wait for a smaller share of the timeout, which is still
# larger than this one. The difference covers clocks that run at different rates, and members that
# forget the leader by a restart.
CONFIRMED_LEADER_SHARE = 0.5
CONFIRM_INTERVAL_S = 0.15


class QuorumCheck:
    """Confirmations by a quorum, each of which lets the leader act for a limited time.

    :param group: :class:`~siskintally.group.Group` whose replica leads.
    :param election_min_s: shortest election timeout of the group.
    """

    __slots__ = ("_confirmed", "_confirmed_until", "_election_min_s", "_group")

    def __init__(self, *, group, election_min_s):
        self._group = group
        self._election_min_s = election_min_s
        self._confirmed_until = 0.0
        self._confirmed = Event()

    async def run(self):
        """Confirm the leadership at intervals until cancelled.

        :raises SiskintallyError: leadership is lost.
        """
        while True:
            asked_at = steady()
            with move_on_after(self._election_min_s * 2) as scope:
                await self._group.confirm_leadership()
            if not scope.cancelled_caught:
                self._confirmed_until = asked_at + self._election_min_s * CONFIRMED_LEADER_SHARE
                self._confirmed.set()
                self._confirmed = Event()
            await sleep(CONFIRM_INTERVAL_S)

    def is_confirmed(self, now):
        """Return whether no other leader can be elected by ``now``, so that this one may act.

        A successor to which leadership is transferred is elected without an election timeout.
        """
        return now < self._confirmed_until and not self._group.is_transferring

    async def wait(self):
        """Wait until a quorum is known to follow; the end of the term cancels the wait."""
        while not self.is_confirmed(steady()):
            await self._confirmed.wait()
