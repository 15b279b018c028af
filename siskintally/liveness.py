"""Keepalive of links: decides when to ping a link and when to close it as silent.

Every received byte counts as a sign of life, also one of a frame that has arrived only in part.

>>> from siskintally.liveness import LinkTiming, Liveness, LinkAction
>>> liveness = Liveness(timing=LinkTiming(), now=0.0)
>>> [liveness.next_action(now) for now in (4.9, 5.0, 7.9, 8.0)]
[<LinkAction.NONE: 0>, <LinkAction.PING: 1>, <LinkAction.NONE: 0>, <LinkAction.CLOSE: 2>]
"""

from enum import IntEnum
from time import monotonic

from anyio import sleep

CHECK_INTERVAL_S = 0.5


class LinkTiming:
    """Intervals of one link, in seconds.

    :param idle_ping_s: time without received bytes after which a link without calls is pinged.
    :param busy_ping_s: the same for a link with a pending call; shorter, so that the call fails
        before its own deadline.
    :param ping_timeout_s: time after an unanswered ping at which the link is closed.
    :param connect_timeout_s: longest time to open a link.
    :param max_backoff_s: longest delay before a lost link is reopened, without jitter.
    """

    __slots__ = (
        "busy_ping_s",
        "connect_timeout_s",
        "idle_ping_s",
        "max_backoff_s",
        "ping_timeout_s",
    )

    def __init__(
        self,
        *,
        idle_ping_s=5.0,
        busy_ping_s=1.0,
        ping_timeout_s=3.0,
        connect_timeout_s=2.0,
        max_backoff_s=2.0,
    ):
        self.idle_ping_s = idle_ping_s
        self.busy_ping_s = busy_ping_s
        self.ping_timeout_s = ping_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.max_backoff_s = max_backoff_s


class LinkAction(IntEnum):
    """Action that is due on a link."""

    NONE = 0
    PING = 1
    CLOSE = 2


class Liveness:
    """Times of the last received bytes and the last ping of a link; does no I/O.

    :param timing: :class:`LinkTiming`.
    :param now: monotonic time, seconds.
    """

    __slots__ = ("_last_ping", "_timing", "last_heard")

    def __init__(self, *, timing, now):
        self._timing = timing
        self._last_ping = 0.0
        self.last_heard = now

    def next_action(self, now, *, busy_since=None):
        """Return the action that is due; a ping counts as sent from then on.

        :param busy_since: time since which calls have been pending, or None. A call is a probe
            in itself, so a ping is due only when its reply takes longer than ``busy_ping_s``.
        """
        if self._last_ping > self.last_heard:
            return (
                LinkAction.CLOSE
                if now >= self._last_ping + self._timing.ping_timeout_s
                else LinkAction.NONE
            )
        due = self.last_heard + self._timing.idle_ping_s
        if busy_since is not None:
            due = max(self.last_heard, busy_since) + self._timing.busy_ping_s
        if now < due:
            return LinkAction.NONE
        self._last_ping = now
        return LinkAction.PING


async def check_sessions(sessions):
    """Check sessions every 0.5 s until cancelled.

    The checks are aligned to multiples of the interval, as the heartbeats of groups are, so that
    the process wakes up once for both. One task checks all the sessions of a server.

    :param sessions: function that returns the open sessions.
    """
    while True:
        await sleep(CHECK_INTERVAL_S - monotonic() % CHECK_INTERVAL_S)
        now = monotonic()
        for session in sessions():
            session.check_liveness(now)
