"""Choice of an endpoint among those with a free slot.

>>> from siskintally.balancer import Candidate, LeastLoaded
>>> busy = Candidate(name="a", share=2, in_flight=1)
>>> idle = Candidate(name="b", share=2, in_flight=0)
>>> LeastLoaded().choose([busy, idle], key="").name
'b'
"""

from abc import ABC, abstractmethod
from random import Random

from siskintally.slot_share import rendezvous

# A failing endpoint that may not be ejected looks this much more loaded.
SUSPECT_FACTOR = 8


class Candidate:
    """An endpoint that has a free slot for this entry.

    :param share: slots of this entry.
    :param in_flight: slots in use.
    :param suspect: whether it fails often.
    """

    __slots__ = ("in_flight", "name", "share", "suspect")

    def __init__(self, *, name, share, in_flight, suspect=False):
        self.name = name
        self.share = share
        self.in_flight = in_flight
        self.suspect = suspect

    def load(self):
        """Return the load after one more request, relative to the share."""
        factor = SUSPECT_FACTOR if self.suspect else 1
        return (self.in_flight + 1) / self.share * factor


class Balancer(ABC):
    """A policy of choosing an endpoint."""

    __slots__ = ()

    @abstractmethod
    def choose(self, candidates, *, key):
        """Return one of the candidates.

        :param candidates: at least one.
        :param key: what requests for the same data have in common.
        """


class PowerOfTwo(Balancer):
    """The less loaded of two random endpoints.

    :param random: random source.
    """

    __slots__ = ("_random",)

    def __init__(self, *, random=None):
        self._random = random or Random()

    def choose(self, candidates, *, key):
        """Return one of the candidates."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._random.sample(candidates, 2)
        return first if first.load() <= second.load() else second


class LeastLoaded(Balancer):
    """The least loaded endpoint, the first of several."""

    __slots__ = ()

    def choose(self, candidates, *, key):
        """Return one of the candidates."""
        return min(candidates, key=Candidate.load)


class Rendezvous(Balancer):
    """The endpoint with the highest weight for the key, so equal keys meet warm caches."""

    __slots__ = ()

    def choose(self, candidates, *, key):
        """Return one of the candidates."""
        healthy = [one for one in candidates if not one.suspect] or candidates
        return max(healthy, key=lambda one: (rendezvous(key, one.name), one.name))


BALANCER_BY_NAME = {
    "power-of-two": PowerOfTwo,
    "least-loaded": LeastLoaded,
    "rendezvous": Rendezvous,
}
