"""Load balancing policies: choice of an endpoint among those with a free slot.

>>> from siskintally.balancer import Candidate, LeastLoaded
>>> busy = Candidate(name="a", share=2, in_flight=1)
>>> idle = Candidate(name="b", share=2, in_flight=0)
>>> LeastLoaded().choose([busy, idle], key="").name
'b'
"""

from abc import ABC, abstractmethod
from random import Random

from siskintally.slot_share import rendezvous_weight

# Factor on the load of a failing endpoint that the limit on ejections keeps in use.
SUSPECT_LOAD_FACTOR = 8


class Candidate:
    """An endpoint that has a free slot for this entry.

    :param share: slots of the endpoint that this entry may use.
    :param in_flight: slots in use.
    :param suspect: whether the endpoint fails often.
    """

    __slots__ = ("in_flight", "name", "share", "suspect")

    def __init__(self, *, name, share, in_flight, suspect=False):
        self.name = name
        self.share = share
        self.in_flight = in_flight
        self.suspect = suspect

    def load(self):
        """Return the fraction of the share in use after one more request, times 8 for a suspect."""
        factor = SUSPECT_LOAD_FACTOR if self.suspect else 1
        return (self.in_flight + 1) / self.share * factor


class Balancer(ABC):
    """Load balancing policy."""

    __slots__ = ()

    @abstractmethod
    def choose(self, candidates, *, key):
        """Return one of the candidates.

        :param candidates: at least one.
        :param key: affinity key, equal for requests that should go to the same endpoint.
        """


class PowerOfTwo(Balancer):
    """Chooses the less loaded of two random endpoints.

    :param random: random number generator.
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
    """Chooses the least loaded endpoint, the first one on a tie."""

    __slots__ = ()

    def choose(self, candidates, *, key):
        """Return one of the candidates."""
        return min(candidates, key=Candidate.load)


class Rendezvous(Balancer):
    """Rendezvous hashing: equal keys go to the same endpoint, where caches are warm.

    A key moves to another endpoint while its own has no free slot or is suspect.
    """

    __slots__ = ()

    def choose(self, candidates, *, key):
        """Return one of the candidates."""
        healthy = [candidate for candidate in candidates if not candidate.suspect] or candidates
        return max(
            healthy, key=lambda candidate: (rendezvous_weight(key, candidate.name), candidate.name)
        )


BALANCER_BY_NAME = {
    "power-of-two": PowerOfTwo,
    "least-loaded": LeastLoaded,
    "rendezvous": Rendezvous,
}
