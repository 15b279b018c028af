"""Best-fit index of items by free processor and memory, in logarithmic size classes.

>>> from siskintally.resource_index import ResourceIndex
>>> from siskintally.size import Size
>>> index = ResourceIndex()
>>> index.add("w1", Size(cpu=4000, memory=8000))
>>> index.add("w2", Size(cpu=2000, memory=8000))
>>> index.best_fit(Size(cpu=1500, memory=1000))
'w2'
"""

from itertools import islice

# Bits kept below the leading one; with three, neighbouring classes differ by at most an eighth.
SUBCLASS_BITS = 3
_SUBCLASSES = 1 << SUBCLASS_BITS
# Amounts compared in a class whose items all fit; the closest of them is chosen.
MAX_COMPARED_AMOUNTS = 8
# Amounts compared in a class at the edge, where some items do not fit, before the next class is
# searched; the others are compared last.
MAX_COMPARED_EDGE_AMOUNTS = 32


def size_class(amount):
    """Return the logarithmic size class of an amount; larger amounts never get a lower class.

    >>> size_class(7), size_class(16), size_class(17), size_class(18)
    (7, 16, 16, 17)
    """
    if amount < _SUBCLASSES:
        return amount if amount > 0 else 0
    shift = amount.bit_length() - SUBCLASS_BITS - 1
    return (shift << SUBCLASS_BITS) + (amount >> shift)


class _Axis:
    """Bit masks of the non-empty cells: one of the rows, and for each row one of its columns."""

    __slots__ = ("columns_by_row", "rows")

    def __init__(self):
        self.rows = 0
        self.columns_by_row = {}

    def set(self, row, column):
        self.rows |= 1 << row
        self.columns_by_row[row] = self.columns_by_row.get(row, 0) | (1 << column)

    def clear(self, row, column):
        left = self.columns_by_row[row] & ~(1 << column)
        if left:
            self.columns_by_row[row] = left
        else:
            del self.columns_by_row[row]
            self.rows &= ~(1 << row)

    def cells(self, row, column):
        """Yield the non-empty cells at or above a position, lowest row and column first."""
        rows = self.rows >> row
        while rows:
            step = (rows & -rows).bit_length() - 1
            row += step
            columns = self.columns_by_row[row] >> column
            at = column
            while columns:
                skip = (columns & -columns).bit_length() - 1
                at += skip
                yield row, at
                columns >>= skip + 1
                at += 1
            rows >>= step + 1
            row += 1


class ResourceIndex:
    """Items in cells of (processor class, memory class), for searches in nearly constant time.

    A search steps over the non-empty cells by bit masks. Only cells at the lower edge can contain
    items that do not fit. Items with equal amounts are grouped and compared once.
    """

    __slots__ = ("_by_cpu", "_by_memory", "_cells")

    def __init__(self):
        self._by_cpu = _Axis()
        self._by_memory = _Axis()
        self._cells = {}

    def __bool__(self):
        return bool(self._cells)

    def add(self, item, size):
        """Add an item with its free resources."""
        row, column = size_class(size.cpu), size_class(size.memory)
        cell = self._cells.get((row, column))
        if cell is None:
            cell = self._cells[row, column] = {}
            self._by_cpu.set(row, column)
            self._by_memory.set(column, row)
        cell.setdefault((size.cpu, size.memory), {})[item] = None

    def remove(self, item, size):
        """Remove an item that was added with this size."""
        row, column = size_class(size.cpu), size_class(size.memory)
        cell = self._cells[row, column]
        amounts = (size.cpu, size.memory)
        del cell[amounts][item]
        if not cell[amounts]:
            del cell[amounts]
        if not cell:
            del self._cells[row, column]
            self._by_cpu.clear(row, column)
            self._by_memory.clear(column, row)

    def _groups(self, need, by_memory):
        """Yield groups of items that fit, tightest cell first, then tightest group in the cell."""
        row, column = size_class(need.cpu), size_class(need.memory)
        cells = (
            ((at, over) for over, at in self._by_memory.cells(column, row))
            if by_memory
            else self._by_cpu.cells(row, column)
        )
        deferred = []
        for at in cells:
            amounts = self._cells[at]
            edge = at[0] == row or at[1] == column
            if edge and len(amounts) > MAX_COMPARED_EDGE_AMOUNTS:
                deferred.append(amounts)
                amounts = dict(islice(amounts.items(), MAX_COMPARED_EDGE_AMOUNTS))
            yield from _fitting_groups(
                amounts,
                need,
                MAX_COMPARED_EDGE_AMOUNTS if edge else MAX_COMPARED_AMOUNTS,
                by_memory,
            )
        for amounts in deferred:
            rest = dict(islice(amounts.items(), MAX_COMPARED_EDGE_AMOUNTS, None))
            yield from _fitting_groups(rest, need, len(rest), by_memory)

    def best_fit(self, need, *, by_memory=False):
        """Return the item with the tightest fit, or None.

        :param by_memory: compare the free memory first, otherwise the free processor.
        """
        for _, items in self._groups(need, by_memory):
            return next(iter(items))
        return None

    def fitting(self, need, *, by_memory=False):
        """Yield the items that fit, tightest classes first; the index must not change meanwhile."""
        for _, items in self._groups(need, by_memory):
            yield from items


def _fitting_groups(groups, need, limit, by_memory):
    """Yield up to ``limit`` groups that fit, tightest first."""
    fits = (at for at in groups if at[0] >= need.cpu and at[1] >= need.memory)
    for at in sorted(islice(fits, limit), key=_memory_first if by_memory else None):
        yield at, groups[at]


def _memory_first(amounts):
    return (amounts[1], amounts[0])
