"""Load summaries between entries of different domains, and the choice of one to forward to.

>>> from siskintally.entry_summary import SummaryTable
>>> table = SummaryTable(region="jylland")
>>> table.choose("seat-count", open_peers={}) is None
True
"""

from random import Random

# An unchanged summary is repeated only to make up for lost messages; pings check the link.
REPEAT_INTERVAL_S = 30.0
# Free slots change all the time; changes by a smaller factor are not worth billed cross-region
# bytes.
MIN_CHANGE_FACTOR = 2.0


class SummaryThrottle:
    """Decides when to send a summary to one peer: after a significant change, or after 30 s."""

    __slots__ = ("_last_sent", "_sent_at")

    def __init__(self):
        self._last_sent = None
        self._sent_at = 0.0

    def is_due(self, summary, *, now):
        """Return whether to send a summary; if so, record it as sent."""
        due = (
            self._last_sent is None
            or now - self._sent_at >= REPEAT_INTERVAL_S
            or _is_significant_change(self._last_sent, summary)
        )
        if due:
            self._last_sent = summary
            self._sent_at = now
        return due


def _is_significant_change(old, new):
    if old.draining != new.draining or len(old.services) != len(new.services):
        return True
    old_load_by_service = {load.service: load for load in old.services}
    return any(
        load.service not in old_load_by_service
        or _load_differs(old_load_by_service[load.service], load)
        for load in new.services
    )


def _load_differs(old, new):
    if old.endpoints != new.endpoints or bool(old.free_slots) != bool(new.free_slots):
        return True
    low, high = sorted((old.free_slots, new.free_slots))
    return high > low * MIN_CHANGE_FACTOR


class SummaryTable:
    """Latest summaries of entries of other domains.

    :param region: region of this entry.
    """

    __slots__ = ("_by_peer", "_random", "region")

    def __init__(self, *, region, random=None):
        self.region = region
        self._by_peer = {}
        self._random = random or Random()

    def record(self, peer, summary):
        """Record the summary of a peer."""
        self._by_peer[peer] = summary

    def forget(self, peer):
        """Drop the summary of a peer whose link is closed."""
        self._by_peer.pop(peer, None)

    def choose(self, service, *, open_peers, avoid="", need_free=False):
        """Return a random one of the best entries that serve a service, or None.

        Any other entry is better than ``avoid``, then one in the own region, then free slots.

        :param open_peers: ``{peer: region}`` of the reachable entries.
        :param avoid: entry that has just failed, or empty.
        :param need_free: whether an entry must have free slots.
        """
        best = []
        best_rank = None
        for peer, region in open_peers.items():
            load = self._load_of(peer, service)
            if load is None or not load.endpoints or (need_free and not load.free_slots):
                continue
            rank = (peer == avoid, region != self.region, not load.free_slots)
            if best_rank is None or rank < best_rank:
                best, best_rank = [], rank
            if rank == best_rank:
                best.append(peer)
        return self._random.choice(best) if best else None

    def _load_of(self, peer, service):
        summary = self._by_peer.get(peer)
        if summary is None or summary.draining:
            return None
        return next((load for load in summary.services if load.service == service), None)
