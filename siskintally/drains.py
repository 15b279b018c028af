"""Drain table of the cell: workers and endpoints that operators have taken out of service.

>>> from siskintally.drains import DrainTable
>>> DrainTable().latest_change()
0
"""

from siskintally.errors import BadRequestError
from siskintally.wire_pb2 import DrainItem

MAX_DRAINS = 10_000
DRAIN_KINDS = ("worker", "endpoint")


class DrainTable:
    """DrainItems by kind and name, in order of change.

    An item stays when its worker or endpoint is back in service, so that domain groups learn of it.
    """

    __slots__ = ("_item_by_key",)

    def __init__(self):
        self._item_by_key = {}

    def is_draining(self, kind, name):
        """Return whether a worker or endpoint is out of service."""
        item = self._item_by_key.get((kind, name))
        return item is not None and item.draining

    def set(self, change, *, index):
        """Take a worker or endpoint out of service, or put it back.

        :param change: SetDrain message with a name that was already checked.
        :raises BadRequestError: the kind is unknown, or there are too many names.
        """
        if change.kind not in DRAIN_KINDS:
            raise BadRequestError(f"kind = {change.kind!r}: expected worker or endpoint")
        key = (change.kind, change.name)
        if key not in self._item_by_key and len(self._item_by_key) >= MAX_DRAINS:
            raise BadRequestError(f"drains: expected at most {MAX_DRAINS} names")
        if self.is_draining(*key) != change.draining:
            self._item_by_key.pop(key, None)
            self._item_by_key[key] = DrainItem(
                kind=change.kind, name=change.name, draining=change.draining, changed_at=index
            )

    def draining_items(self):
        """Return the DrainItems of all workers and endpoints out of service, in order of change."""
        return [item for item in self._item_by_key.values() if item.draining]

    def latest_change(self):
        """Return the log index of the last change, 0 if none."""
        return next(reversed(self._item_by_key.values())).changed_at if self._item_by_key else 0

    def changed_since(self, index):
        """Return the DrainItems that changed after a log index."""
        return [item for item in self._item_by_key.values() if item.changed_at > index]

    def save(self, state):
        """Write all items into a State message."""
        state.drains.extend(self._item_by_key.values())

    def load(self, state):
        """Replace everything with the items of a State message."""
        self._item_by_key = {(item.kind, item.name): item for item in state.drains}
