"""Cached state of the control group: its leader and the configuration version; pure logic.

>>> from siskintally.control_pb2 import ControlNotice
>>> from siskintally.leader_cache import LeaderCache
>>> cache = LeaderCache(fresh_s=1.5)
>>> cache.apply_notice(ControlNotice(leads=True), sender="10.0.0.1:7000", now=5.0)
>>> cache.leader(5.5), cache.leader(9.0)
('10.0.0.1:7000', '')
"""

from math import inf

# Age of the last notice from which on the leader may be lost: more than two intervals of notices.
OVERDUE_NOTICE_S = 0.75


class LeaderCache:
    """Caches what the notices of stores say of the leader and the configuration.

    ``version``: highest configuration version that a notice has named.

    :param fresh_s: age up to which a notice is valid, s.
    """

    __slots__ = (
        "_fresh_s",
        "_is_rejected",
        "_leader",
        "_leader_notice_at",
        "_leader_set_at",
        "_term",
        "version",
    )

    def __init__(self, *, fresh_s):
        self._fresh_s = fresh_s
        self._leader = ""
        self._leader_notice_at = -inf
        self._leader_set_at = -inf
        self._is_rejected = False
        self._term = 0
        self.version = 0

    def apply_notice(self, notice, *, sender, now):
        """Apply a notice.

        :param sender: link address of the store that sent it.
        :param now: steady time, s.
        """
        if notice.term < self._term:
            # A former leader that is partitioned or whose disk hangs may still claim to lead.
            return
        if notice.leads or notice.leader:
            self._term = notice.term
        if notice.leads:
            self._leader = sender
            self._leader_notice_at = self._leader_set_at = now
            self._is_rejected = False
        elif notice.leader and (self._is_rejected or now - self._leader_notice_at > self._fresh_s):
            self._leader = notice.leader
            self._leader_set_at = now
        self.version = max(self.version, notice.version)

    def leader(self, now):
        """Return the link address of the current leader, empty if unknown."""
        return self._leader if now - self._leader_set_at <= self._fresh_s else ""

    def is_fresh(self, now):
        """Return whether the leader has been heard recently and there is a configuration."""
        has_leader_notice = not self._is_rejected and now - self._leader_notice_at <= self._fresh_s
        return has_leader_notice and self.version > 0

    def is_current(self, now):
        """Return whether the leader is fresh and its next notice is not overdue."""
        return self.is_fresh(now) and now - self._leader_notice_at <= OVERDUE_NOTICE_S

    def notice_age_s(self, now):
        """Return the age of the last notice from a leader in seconds, infinite before the first.

        :param now: steady time, s.
        """
        return now - self._leader_notice_at

    def reject_leader(self, leader):
        """Drop a leader that replied that it does not lead."""
        if self._leader == leader:
            self._leader_set_at = -inf
            self._is_rejected = True

    def apply_hint(self, leader, now):
        """Use the leader that a store named when it refused a call."""
        if leader and leader != self._leader:
            self._leader = leader
            self._leader_set_at = now
