"""SIGHUP during the start of a process that reloads its settings: held back, delivered later.

>>> from siskintally.held_signals import reloads_settings
>>> reloads_settings(["siskintally", "platform-store"]), reloads_settings(["siskintally", "status"])
(True, False)
"""

from signal import SIG_BLOCK, SIG_UNBLOCK, SIGHUP, pthread_sigmask

RELOADING_COMMANDS = frozenset({"platform-entry", "platform-store"})


def reloads_settings(argv):
    """Return whether a command line starts a process that reloads its settings at SIGHUP."""
    return argv[1:2] != [] and argv[1] in RELOADING_COMMANDS


def hold_back():
    """Hold back SIGHUP, whose default action ends the process, in this and in later threads."""
    pthread_sigmask(SIG_BLOCK, {SIGHUP})


def deliver():
    """Deliver SIGHUP from now on, also one that was held back; called once it is handled."""
    pthread_sigmask(SIG_UNBLOCK, {SIGHUP})
