"""Group status check: a process starts tasks only once the cell reports its group as not lost.

>>> from siskintally.group_status_check import GroupStatusCheck
>>> from siskintally.domain import Domain
>>> from siskintally.wire_pb2 import SyncReply
>>> status_check, domain = GroupStatusCheck(), Domain(group="g")
>>> status_check.permits_start(domain)
False
>>> status_check.record_reply(SyncReply())
>>> status_check.permits_start(domain)
True
"""

from time import monotonic

from anyio import sleep

from siskintally.errors import SiskintallyError
from siskintally.log import get_logger
from siskintally.wire_pb2 import SyncRequest

CHECK_TIMEOUT_S = 10.0
RETRY_S = 1.0
CHECK_INTERVAL_S = 1.0
# Half of the silence after which a group can be declared lost. A group without a leader for longer
# may have been declared lost and restored, even though this store process kept running because its
# machine serves other groups too.
MAX_LEADERLESS_S = 60.0

log = get_logger("group-status-check")


class GroupStatusCheck:
    """Whether the cell has reported, since this process started, that the group is not lost.

    A process may restart after its group was declared lost and its tasks run elsewhere, so it
    starts no tasks before it has asked the cell. A process that keeps running during a partition
    may continue to start tasks while its group has a leader, so that its domain stays available.
    """

    __slots__ = ("_epoch", "_leader_seen_at")

    def __init__(self):
        self._epoch = None
        self._leader_seen_at = None

    def record_leader(self, now):
        """Record that the group has a leader; after a long time without one, ask the cell again.

        :param now: monotonic seconds. A pause of the process counts as time without a leader.
        """
        if self._leader_seen_at is not None and now - self._leader_seen_at > MAX_LEADERLESS_S:
            self._epoch = None
        self._leader_seen_at = now

    def record_reply(self, reply):
        """Record the status of the group from a SyncReply."""
        if not reply.lost:
            self._epoch = reply.epoch

    def permits_start(self, domain):
        """Return whether tasks of the domain may be started.

        :param domain: :class:`~siskintally.domain.Domain`.
        """
        return not domain.fenced and self._epoch == domain.epoch

    async def run(self, *, group, domain, cell_call):
        """Ask the cell for the group's status whenever starts are not permitted, until cancelled.

        The leader asks with its sync requests. Followers ask here, so that one that wins an
        election during a partition may start tasks.

        :param group: :class:`~siskintally.group.Group` of the domain group.
        """
        while True:
            if group.leader:
                self.record_leader(monotonic())
            if group.is_leader or domain.fenced or self.permits_start(domain):
                await sleep(CHECK_INTERVAL_S)
                continue
            request = SyncRequest(group=domain.group, epoch=domain.epoch, check=True)
            try:
                self.record_reply(await cell_call(request, timeout=CHECK_TIMEOUT_S))
            except SiskintallyError as error:
                log.info("cell unreachable", error=str(error))
            if not self.permits_start(domain):
                await sleep(RETRY_S)
