"""Transfers leadership back to the preferred member of a group after a failover.

Otherwise, after failures, the leaders of many groups would accumulate on the few VMs that have run
longest without a failure, and a VM that leads several groups exceeds its processor budget. The
current time is passed in.

>>> from siskintally.leader_preference import LeaderPreference
>>> LeaderPreference(group="cell", preferred="s1").preferred
's1'
"""

from math import inf

from siskintally.log import get_logger

# Limits how often a member that fails repeatedly moves leadership.
TRANSFER_DELAY_S = 120.0

log = get_logger("leader-preference")


class LeaderPreference:
    """Decides when a leader transfers leadership to the preferred member.

    :param preferred: process name of the member that should lead.
    :param transfer_delay_s: minimum seconds since the term began, or since the last attempt,
        before a transfer.
    """

    __slots__ = ("_delay_started_at", "_group", "_term", "_transfer_delay_s", "preferred")

    def __init__(self, *, group, preferred, transfer_delay_s=TRANSFER_DELAY_S):
        self._group = group
        self.preferred = preferred
        self._transfer_delay_s = transfer_delay_s
        self._term = None
        self._delay_started_at = inf

    def advance(self, replica, now, effects):
        """Start a leadership transfer if one is due."""
        target = self.target(replica, now)
        if target is not None:
            log.info(
                "transferring leadership to the preferred member", group=self._group, to=target.name
            )
            effects.extend(replica.transfer_leadership(now, to=target))

    def target(self, replica, now):
        """Return the voter to transfer leadership to now, or None.

        :param replica: :class:`~siskintally.replica.Replica` of this process.
        :param now: monotonic time in seconds.
        """
        if not replica.is_leader or replica.identity.name == self.preferred:
            return None
        if self._term != replica.term:
            self._term, self._delay_started_at = replica.term, now
        if (
            now - self._delay_started_at < self._transfer_delay_s
            or not replica.has_committed_in_term
        ):
            return None
        for voter in replica.voters:
            if voter.name == self.preferred and _can_lead(replica, voter, now):
                self._delay_started_at = now
                return voter
        return None


def _can_lead(replica, voter, now):
    progress = replica.progress_by_id[voter]
    is_reachable = (
        progress.has_replied and now - progress.last_reply_at < replica.timing.election_min_s
    )
    return is_reachable and progress.match_index >= replica.commit_index
