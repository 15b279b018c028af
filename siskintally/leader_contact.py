"""Contact of an entry with the leader: records when it is lost and regained.

>>> from siskintally.counters import Counters
>>> from siskintally.leader_contact import LeaderContact
>>> contact = LeaderContact(fresh_s=1.5, counters=Counters(), now=10.0)
>>> contact.age_s(12.0)
2.0
"""

from anyio import sleep

from siskintally.clock import now as steady
from siskintally.log import get_logger

CHECK_INTERVAL_S = 0.25

log = get_logger("leader-contact")


class LeaderContact:
    """Records losses of contact in the log and the metrics; makes no decisions.

    :param fresh_s: age of the last leader notice up to which there is contact, s.
    :param counters: :class:`~siskintally.counters.Counters`.
    :param now: steady time, s.
    """

    __slots__ = ("_counters", "_fresh_s", "_has_contact", "_notice_at")

    def __init__(self, *, fresh_s, counters, now):
        self._fresh_s = fresh_s
        self._counters = counters
        self._has_contact = False
        self._notice_at = now
        counters.leader_notice_age.set_function(lambda: self.age_s(steady()))

    def age_s(self, now):
        """Return the age of the last leader notice in seconds; before the first, since start."""
        return now - self._notice_at

    def record_notice(self, now, *, leader):
        """Record a notice of the leader."""
        # The process may have been blocked, so that the loss shows only now.
        self.check(now)
        silent_s = self.age_s(now)
        self._notice_at = now
        if not self._has_contact:
            self._has_contact = True
            log.info("leader contact regained", leader=leader, silent_ms=round(silent_s * 1000))

    def check(self, now):
        """Record a loss if the last notice is too old."""
        if self._has_contact and self.age_s(now) > self._fresh_s:
            self._has_contact = False
            self._counters.leader_contact_losses.inc()
            log.info("leader contact lost", silent_ms=round(self.age_s(now) * 1000))

    async def run(self):
        """Check at intervals until cancelled."""
        while True:
            await sleep(CHECK_INTERVAL_S)
            self.check(steady())
