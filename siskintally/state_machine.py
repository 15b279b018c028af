"""Abstract base class of replicated state machines.

>>> from siskintally.state_machine import StateMachine
>>> sorted(StateMachine.__abstractmethods__)
['apply', 'restore', 'snapshot']
"""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """State that every replica of a group computes from the same log.

    ``apply`` reads no clock and no random source: time and random values come in the command.
    """

    __slots__ = ()

    @abstractmethod
    def apply(self, *, index, command):
        """Apply a committed command and return the reply as bytes.

        :param index: log index, larger by at least 1 at each call.
        :param command: bytes that :meth:`Group.propose` was given.
        """

    @abstractmethod
    def snapshot(self):
        """Return the whole state as bytes."""

    @abstractmethod
    def restore(self, data):
        """Replace the state with a snapshot."""
