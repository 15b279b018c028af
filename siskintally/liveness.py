"""Decides when a link is pinged and when it counts as silent.

>>> from siskintally.liveness import Liveness, Step
>>> liveness = Liveness(idle_ping_s=5.0, now=0.0)
>>> liveness.step(4.9), liveness.step(5.0), liveness.step(7.9), liveness.step(8.0)
(<Step.NONE: 0>, <Step.PING: 1>, <Step.NONE: 0>, <Step.CLOSE: 2>)
"""

from enum import IntEnum
from time import monotonic

from anyio import sleep

# A link on which a call waits is pinged sooner, so that the call fails before its own deadline.
BUSY_PING_S = 1.0
SILENCE_S = 3.0
CHECK_S = 0.5


class Step(IntEnum):
    """What to do with a link."""

    NONE = 0
    PING = 1
    CLOSE = 2


class Liveness:
    """When a link was heard and pinged; pure.

    :param idle_ping_s: silence after which a link without calls is pinged, s.
    :param now: monotonic time, s.
    """

    __slots__ = ("_idle_ping_s", "_last_ping", "last_heard")

    def __init__(self, *, idle_ping_s, now):
        self._idle_ping_s = idle_ping_s
        self._last_ping = 0.0
        self.last_heard = now

    def step(self, now, *, busy_since=None):
        """Return what is due; a ping counts as sent.

        :param busy_since: since when calls wait for replies, or None. A call on a quiet link is
            itself a question, so a ping is due only when its reply takes long.
        """
        if self._last_ping > self.last_heard:
            return Step.CLOSE if now >= self._last_ping + SILENCE_S else Step.NONE
        due = self.last_heard + self._idle_ping_s
        if busy_since is not None:
            due = max(self.last_heard, busy_since) + BUSY_PING_S
        if now < due:
            return Step.NONE
        self._last_ping = now
        return Step.PING


async def watch(sessions):
    """Check sessions until cancelled.

    The checks fall on multiples of their interval, as the heartbeats of groups do, so that a
    process wakes up once for both; one task checks all the sessions of a server.

    :param sessions: function that returns the open sessions.
    """
    while True:
        await sleep(CHECK_S - monotonic() % CHECK_S)
        now = monotonic()
        for session in sessions():
            session.check(now)
