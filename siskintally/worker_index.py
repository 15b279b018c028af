"""Index of the workers of one failure domain by free accelerators, processors and memory.

>>> from siskintally.worker_index import WorkerIndex
>>> from siskintally.size import Size
>>> index = WorkerIndex()
>>> index.put("w1", Size(cpu=4000, memory=4000, accelerators=1), accelerated=True)
>>> index.put("w2", Size(cpu=8000, memory=8000), accelerated=False)
>>> index.best_fit(Size(cpu=1000, memory=1000))
'w2'
"""

from siskintally.resource_index import ResourceIndex

# Key of workers without accelerators. It sorts first, so tasks that need no accelerator are placed
# on workers that have some only if they fit on no other.
_NO_ACCELERATORS = -1


class WorkerIndex:
    """A :class:`~siskintally.resource_index.ResourceIndex` for each number of free accelerators."""

    __slots__ = ("_entry_by_item", "_index_by_accelerators", "_keys")

    def __init__(self):
        self._index_by_accelerators = {}
        self._keys = []
        self._entry_by_item = {}

    def put(self, item, size, *, accelerated):
        """Add an item, or move it to another size; a size of None removes it."""
        entry = self._entry_by_item.pop(item, None)
        if entry is not None:
            self._index_by_accelerators[entry[0]].remove(item, entry[1])
        if size is None:
            return
        key = size.accelerators if accelerated else _NO_ACCELERATORS
        index = self._index_by_accelerators.get(key)
        if index is None:
            index = self._index_by_accelerators[key] = ResourceIndex()
            self._keys = sorted(self._index_by_accelerators)
        index.add(item, size)
        self._entry_by_item[item] = (key, size)

    def _indexes(self, need):
        for key in self._keys:
            if key >= need.accelerators or not need.accelerators:
                index = self._index_by_accelerators[key]
                if index:
                    yield index

    def best_fit(self, need, *, by_memory=False):
        """Return the item with the fewest free accelerators and the tightest fit, or None."""
        for index in self._indexes(need):
            item = index.best_fit(need, by_memory=by_memory)
            if item is not None:
                return item
        return None

    def fitting(self, need, *, by_memory=False):
        """Yield the items that fit; the index must not change during the iteration."""
        for index in self._indexes(need):
            yield from index.fitting(need, by_memory=by_memory)
