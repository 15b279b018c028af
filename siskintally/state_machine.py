"""Abstract base class of replicated state machines.

>>> from siskintally.state_machine import StateMachine
>>> sorted(StateMachine.__abstractmethods__)
['apply', 'restore', 'snapshot']
"""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """Deterministic state machine that every replica of a group runs on the same log.

    ``apply`` must not use a clock or a random source: commands carry such values.
    """

    __slots__ = ()

    @abstractmethod
    def apply(self, *, index, command):
        """Apply a committed command and return the reply as bytes.

        :param index: log index; increases with each call, not always by 1.
        :param command: bytes given to :meth:`~siskintally.group.Group.propose`.
        """

    @abstractmethod
    def snapshot(self):
        """Return the complete state as bytes."""

    @abstractmethod
    def restore(self, data):
        """Replace the state with that of a snapshot."""
