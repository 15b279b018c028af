"""What a store process knows from the cell about the standing of its domain group.

>>> from siskintally.clearance import Clearance
>>> from siskintally.domain import Domain
>>> from siskintally.wire_pb2 import SyncReply
>>> clearance, domain = Clearance(), Domain(group="g")
>>> clearance.covers(domain)
False
>>> clearance.learn(SyncReply())
>>> clearance.covers(domain)
True
"""

from anyio import sleep

from siskintally.errors import SiskintallyError
from siskintally.log import get_logger
from siskintally.wire_pb2 import SyncRequest

CHECK_TIMEOUT_S = 10.0
RETRY_S = 1.0
# The epoch of a group changes only with a declared loss.
LOOK_S = 5.0

log = get_logger("clearance")


class Clearance:
    """Whether the cell has told this process, since its start, that the group is not lost.

    A process that was switched off may come back after its group was declared lost and its tasks
    run elsewhere, so nothing is started before the cell has been asked. A process that runs on
    through a partition keeps its clearance, and so does its domain its work.
    """

    __slots__ = ("_epoch",)

    def __init__(self):
        self._epoch = None

    def learn(self, reply):
        """Take what a SyncReply says of the group."""
        if not reply.lost:
            self._epoch = reply.epoch

    def covers(self, domain):
        """Tell whether tasks of a domain may be started.

        :param domain: :class:`~siskintally.domain.Domain`.
        """
        return not domain.fenced and self._epoch == domain.epoch

    async def seek(self, *, domain, cell_call, leads):
        """Ask the cell while it is needed, until cancelled.

        The leader asks by its sync; the others ask too, so that one that wins an election during a
        partition can go on.

        :param leads: ``leads()`` tells whether this process leads the group.
        """
        while True:
            if leads() or domain.fenced or self.covers(domain):
                await sleep(LOOK_S)
                continue
            request = SyncRequest(group=domain.group, epoch=domain.epoch, check=True)
            try:
                self.learn(await cell_call(request, timeout=CHECK_TIMEOUT_S))
            except SiskintallyError as error:
                log.info("cell not reached", error=str(error))
            if not self.covers(domain):
                await sleep(RETRY_S)
