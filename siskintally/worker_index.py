"""Workers of one failure domain, indexed by their free resources.

>>> from siskintally.worker_index import WorkerIndex
>>> from siskintally.size import Size
>>> index = WorkerIndex()
>>> index.put("w1", Size(cpu=4000, memory=4000, accelerators=1), accelerated=True)
>>> index.put("w2", Size(cpu=8000, memory=8000), accelerated=False)
>>> index.best(Size(cpu=1000, memory=1000))
'w2'
"""

from siskintally.resource_index import ResourceIndex

# Key of workers without accelerators: work that needs none is kept off the others while possible.
_PLAIN = -1


class WorkerIndex:
    """A grid for each number of free accelerators."""

    __slots__ = ("_grid_by_accelerators", "_keys", "_place_by_item")

    def __init__(self):
        self._grid_by_accelerators = {}
        self._keys = []
        self._place_by_item = {}

    def put(self, item, size, *, accelerated):
        """Add an item, or move it; a size of None removes it."""
        place = self._place_by_item.pop(item, None)
        if place is not None:
            self._grid_by_accelerators[place[0]].remove(item, place[1])
        if size is None:
            return
        key = size.accelerators if accelerated else _PLAIN
        grid = self._grid_by_accelerators.get(key)
        if grid is None:
            grid = self._grid_by_accelerators[key] = ResourceIndex()
            self._keys = sorted(self._grid_by_accelerators)
        grid.add(item, size)
        self._place_by_item[item] = (key, size)

    def _grids(self, need):
        for key in self._keys:
            if key >= need.accelerators or not need.accelerators:
                grid = self._grid_by_accelerators[key]
                if grid:
                    yield grid

    def best(self, need, *, by_memory=False):
        """Return the tightest item that fits, with the fewest free accelerators, or None."""
        for grid in self._grids(need):
            item = grid.best(need, by_memory=by_memory)
            if item is not None:
                return item
        return None

    def fitting(self, need, *, by_memory=False):
        """Yield the items that fit; the index must not change meanwhile."""
        for grid in self._grids(need):
            yield from grid.fitting(need, by_memory=by_memory)
