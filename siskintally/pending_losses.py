"""Losses of worker incarnations that are decided but not yet committed.

>>> from siskintally.control_pb2 import PoolWorker
>>> from siskintally.pending_losses import PendingLosses
>>> losses, record = PendingLosses(), PoolWorker(id="w", born_ms=1)
>>> losses.begin(record)
>>> losses.includes(record)
True
>>> losses.end(record, is_committed=True)
>>> losses.includes(record)
False
"""

from anyio import Event

from siskintally.errors import OutcomeUnknownError


class PendingLosses:
    """Losses that a leader is committing; one whose commit has failed stays pending."""

    __slots__ = ("_decided_by_incarnation",)

    def __init__(self):
        self._decided_by_incarnation = {}

    def begin(self, record):
        """Record that the loss of an incarnation is about to be committed."""
        self._decided_by_incarnation[_incarnation_key(record)] = Event()

    def end(self, record, *, is_committed):
        """Record the outcome of the commit and wake those who wait for it."""
        key = _incarnation_key(record)
        self._decided_by_incarnation[key].set()
        if is_committed:
            del self._decided_by_incarnation[key]

    def includes(self, record):
        """Return whether the loss of an incarnation is pending."""
        return _incarnation_key(record) in self._decided_by_incarnation

    async def wait(self, record):
        """Wait until no loss of an incarnation is pending.

        :raises OutcomeUnknownError: its loss could not be committed.
        """
        decided = self._decided_by_incarnation.get(_incarnation_key(record))
        if decided is None:
            return
        await decided.wait()
        if self.includes(record):
            raise OutcomeUnknownError(f"{record.id}: its loss may or may not be committed")


def _incarnation_key(record):
    return record.id, record.born_ms
