"""Decides when a link is pinged and when it counts as silent.

>>> from siskintally.liveness import LinkTiming, Liveness, Step
>>> liveness = Liveness(timing=LinkTiming(), now=0.0)
>>> liveness.step(4.9), liveness.step(5.0), liveness.step(7.9), liveness.step(8.0)
(<Step.NONE: 0>, <Step.PING: 1>, <Step.NONE: 0>, <Step.CLOSE: 2>)
"""

from enum import IntEnum
from time import monotonic

from anyio import sleep

CHECK_S = 0.5


class LinkTiming:
    """Intervals of one link, in seconds.

    :param idle_ping_s: silence after which a link without calls is pinged.
    :param busy_ping_s: the same for a link on which a call waits; shorter, so that the call fails
        before its own deadline.
    :param silence_s: time after a ping without an answer when the link is closed.
    :param connect_s: longest time to open a link.
    :param max_backoff_s: longest pause before a lost link is opened again.
    """

    __slots__ = ("busy_ping_s", "connect_s", "idle_ping_s", "max_backoff_s", "silence_s")

    def __init__(
        self,
        *,
        idle_ping_s=5.0,
        busy_ping_s=1.0,
        silence_s=3.0,
        connect_s=2.0,
        max_backoff_s=2.0,
    ):
        self.idle_ping_s = idle_ping_s
        self.busy_ping_s = busy_ping_s
        self.silence_s = silence_s
        self.connect_s = connect_s
        self.max_backoff_s = max_backoff_s


class Step(IntEnum):
    """What to do with a link."""

    NONE = 0
    PING = 1
    CLOSE = 2


class Liveness:
    """When a link was heard and pinged; pure.

    :param timing: :class:`LinkTiming`.
    :param now: monotonic time, s.
    """

    __slots__ = ("_last_ping", "_timing", "last_heard")

    def __init__(self, *, timing, now):
        self._timing = timing
        self._last_ping = 0.0
        self.last_heard = now

    def step(self, now, *, busy_since=None):
        """Return what is due; a ping counts as sent.

        :param busy_since: since when calls wait for replies, or None. A call on a quiet link is
            itself a question, so a ping is due only when its reply takes long.
        """
        if self._last_ping > self.last_heard:
            return Step.CLOSE if now >= self._last_ping + self._timing.silence_s else Step.NONE
        due = self.last_heard + self._timing.idle_ping_s
        if busy_since is not None:
            due = max(self.last_heard, busy_since) + self._timing.busy_ping_s
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
