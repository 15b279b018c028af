"""Membership policy of a group: which processes may join, and which voters to remove.

>>> from siskintally.roster import FixedRoster
>>> roster = FixedRoster(names=("s1", "s2", "s3"))
>>> roster.may_join("s2"), roster.may_join("s9"), roster.is_bootstrapped(("s1", "s2"))
(True, False, True)
"""

from abc import ABC, abstractmethod

from siskintally.membership import quorum_size


class Roster(ABC):
    """Policy on the processes that may be members of a group."""

    __slots__ = ()

    @abstractmethod
    def contacts(self):
        """Yield the names of processes to send join requests to."""

    @abstractmethod
    def may_join(self, name):
        """Return whether a process may join the group."""

    @abstractmethod
    def is_bootstrapped(self, voter_names):
        """Return whether a leader with these voters may accept proposals."""

    def voter_to_remove(self, silent_s_by_voter):
        """Return a voter to remove from the group, or None.

        :param silent_s_by_voter: seconds since the last reply of each voter, by identity.
        """


class FixedRoster(Roster):
    """Allows only the processes listed in the settings.

    :param names: process names.
    """

    __slots__ = ("names",)

    def __init__(self, *, names):
        self.names = tuple(names)

    def contacts(self):
        """Yield the names in the settings."""
        yield from self.names

    def may_join(self, name):
        """Return whether the settings list a process."""
        return name in self.names

    def is_bootstrapped(self, voter_names):
        """Return whether a majority of the listed processes are voters.

        Before that, a commit could be on one disk only.
        """
        return len(set(voter_names) & set(self.names)) >= quorum_size(len(self.names))


class OpenRoster(Roster):
    """Allows any process; unresponsive voters are removed once enough others are alive.

    :param contacts: function that returns the names of the currently known processes.
    :param tolerated: number of members that may be lost at the same time.
    :param silence_s: seconds without a reply after which a voter may be removed.
    """

    __slots__ = ("_contacts", "_silence_s", "_tolerated")

    def __init__(self, *, contacts, tolerated, silence_s):
        self._contacts = contacts
        self._tolerated = tolerated
        self._silence_s = silence_s

    def contacts(self):
        """Yield the names of the currently known processes."""
        yield from self._contacts()

    def may_join(self, name):
        """Return whether the name is not empty; every process may join."""
        return bool(name)

    def is_bootstrapped(self, voter_names):
        """Return whether there are voters; the initial ones all start from the same state."""
        return bool(voter_names)

    def voter_to_remove(self, silent_s_by_voter):
        """Return the voter unresponsive for longest, if enough others respond, or None.

        Enough are 2 * ``tolerated`` + 1: as many as bear the tolerated losses on their own.
        """
        unresponsive = {
            voter: silent_s
            for voter, silent_s in silent_s_by_voter.items()
            if silent_s >= self._silence_s
        }
        responsive_count = len(silent_s_by_voter) - len(unresponsive)
        if not unresponsive or responsive_count < 2 * self._tolerated + 1:
            return None
        return max(unresponsive, key=lambda voter: (unresponsive[voter], voter))
