"""What a store process knows from the cell about the status of its domain group.

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
LOOK_S = 1.0
# Half of the silence after which a group can be declared lost. A group without a leader for longer
# may come back after a loss, though a store of it, on a machine that other groups use too, ran on.
MAX_GAP_S = 60.0

log = get_logger("group-status-check")


class GroupStatusCheck:
    """Whether the cell has told this process, since its start, that the group is not lost.

    A process that was switched off may come back after its group was declared lost and its tasks
    run elsewhere, so nothing is started before the cell has been asked. A process that runs on
    through a partition may go on starting tasks while its group has a leader, and so its domain
    goes on with its work.
    """

    __slots__ = ("_epoch", "_led_at")

    def __init__(self):
        self._epoch = None
        self._led_at = None

    def note_leader(self, now):
        """Note that the group has a leader; after a long time without one the cell is asked again.

        :param now: monotonic seconds. A pause of the process counts as time without a leader.
        """
        if self._led_at is not None and now - self._led_at > MAX_GAP_S:
            self._epoch = None
        self._led_at = now

    def record_reply(self, reply):
        """Take what a SyncReply says of the group."""
        if not reply.lost:
            self._epoch = reply.epoch

    def permits_start(self, domain):
        """Tell whether tasks of a domain may be started.

        :param domain: :class:`~siskintally.domain.Domain`.
        """
        return not domain.fenced and self._epoch == domain.epoch

    async def run(self, *, group, domain, cell_call):
        """Ask the cell while it is needed, until cancelled.

        The leader asks by its sync; the others ask too, so that one that wins an election during a
        partition can go on.

        :param group: :class:`~siskintally.group.Group` of the domain group.
        """
        while True:
            if group.leader:
                self.note_leader(monotonic())
            if group.is_leader or domain.fenced or self.permits_start(domain):
                await sleep(LOOK_S)
                continue
            request = SyncRequest(group=domain.group, epoch=domain.epoch, check=True)
            try:
                self.record_reply(await cell_call(request, timeout=CHECK_TIMEOUT_S))
            except SiskintallyError as error:
                log.info("cell not reached", error=str(error))
            if not self.permits_start(domain):
                await sleep(RETRY_S)
