"""Fixed split of an endpoint's slots and connections over the entries of its domain.

>>> from siskintally.slot_share import entry_share
>>> entries = ("e1", "e2", "e3")
>>> sorted(entry_share(8, endpoint="p1", entry=name, entries=entries) for name in entries)
[2, 3, 3]
"""

from functools import lru_cache

from xxhash import xxh64_intdigest

SHARE_CACHE_SIZE = 16384


def rendezvous_weight(key, node):
    """Return the rendezvous hashing weight of a node for a key, the same in every process."""
    return xxh64_intdigest(f"{key}\0{node}".encode())


@lru_cache(maxsize=SHARE_CACHE_SIZE)
def entry_share(total, *, endpoint, entry, entries):
    """Return an entry's share of ``total``; the shares of all entries add up to ``total``.

    :param entries: tuple of the names of all configured entries in the endpoint's domain.
    """
    count, remainder = divmod(total, len(entries))
    order = sorted(
        entries, key=lambda name: (rendezvous_weight(endpoint, name), name), reverse=True
    )
    return count + (order.index(entry) < remainder)
