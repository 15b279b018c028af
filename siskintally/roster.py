"""Which processes may have a replica of a group, whom to ask for admission, and who has to leave.

>>> from siskintally.roster import FixedRoster
>>> roster = FixedRoster(names=("s1", "s2", "s3"))
>>> roster.admits("s2"), roster.admits("s9"), roster.is_founded(("s1", "s2"))
(True, False, True)
"""

from abc import ABC, abstractmethod

from siskintally.membership import quorum


class Roster(ABC):
    """Processes that a group may consist of."""

    __slots__ = ()

    @abstractmethod
    def contacts(self):
        """Yield the names of processes that may know the leader of the group."""

    @abstractmethod
    def admits(self, name):
        """Tell whether a process may have a replica."""

    @abstractmethod
    def is_founded(self, voter_names):
        """Tell whether a leader with these voters may accept proposals."""

    def removable(self, silent_s_by_voter):
        """Return a voter that has to leave the group, or None.

        :param silent_s_by_voter: seconds since each voter was heard, by identity.
        """


class FixedRoster(Roster):
    """Processes that the settings name.

    :param names: process names.
    """

    __slots__ = ("names",)

    def __init__(self, *, names):
        self.names = tuple(names)

    def contacts(self):
        """Yield the names of the settings."""
        yield from self.names

    def admits(self, name):
        """Tell whether the settings name a process."""
        return name in self.names

    def is_founded(self, voter_names):
        """Tell whether a majority of the names vote; before, a commit could be on one disk only."""
        return len(set(voter_names) & set(self.names)) >= quorum(len(self.names))


class OpenRoster(Roster):
    """Any process that asks; voters that have gone leave once enough others are alive.

    :param contacts: function that returns the names of processes that are known at present.
    :param tolerated: members that may be lost at the same time.
    :param silence_s: silence after which a voter may be removed.
    """

    __slots__ = ("_contacts", "_silence_s", "_tolerated")

    def __init__(self, *, contacts, tolerated, silence_s):
        self._contacts = contacts
        self._tolerated = tolerated
        self._silence_s = silence_s

    def contacts(self):
        """Yield the names that are known at present."""
        yield from self._contacts()

    def admits(self, name):
        """Admit every process."""
        return bool(name)

    def is_founded(self, voter_names):
        """Tell whether there are voters; all founding voters begin with the same state."""
        return bool(voter_names)

    def removable(self, silent_s_by_voter):
        """Return the voter that is silent for longest, if the others can bear the losses alone."""
        silent = {
            voter: silent_s
            for voter, silent_s in silent_s_by_voter.items()
            if silent_s >= self._silence_s
        }
        alive = len(silent_s_by_voter) - len(silent)
        if not silent or alive < 2 * self._tolerated + 1:
            return None
        return max(silent, key=lambda voter: (silent[voter], voter))
