"""What a leader may send before its own disk has it."""

from types import SimpleNamespace

import pytest

from siskintally.effects import Effects
from siskintally.group_disk import GroupDisk
from siskintally.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    Envelope,
    HardState,
    Identity,
)

ME, OTHER = Identity("a", "a0"), Identity("b", "b0")
LEADER = SimpleNamespace(is_leader=True)


def effects_of(*, message=None):
    """Return the effects of a proposal, perhaps with a message."""
    effects = Effects()
    effects.entries = [Entry(5, 2, EntryKind.COMMAND, b"x")]
    if message is not None:
        effects.messages = [Envelope(to=OTHER, message=message)]
    return effects


def can_write_behind(effects, *, replica=LEADER, in_thread=True):
    """Ask a disk."""
    disk = GroupDisk(folder=None, group="g", process="a", in_thread=in_thread)
    return disk.can_write_behind(effects, replica)


def test_entries_of_a_leader_may_be_sent_first():
    """Guards against commits that wait for the slowest disk."""
    request = AppendRequest(2, ME, 4, 2, 4, 1)
    assert can_write_behind(effects_of(message=request))


@pytest.mark.parametrize("field", ["hard_state", "snapshot"])
def test_a_term_a_vote_and_a_snapshot_are_on_disk_first(field):
    """Guards against a second vote in a term, and a log without its beginning, after a crash."""
    effects = effects_of()
    setattr(effects, field, HardState(term=3, vote=ME))
    assert not can_write_behind(effects)


def test_the_answer_of_a_follower_waits_for_its_disk():
    """Guards against an entry that counts as stored and is lost, in a batch with an election."""
    reply = AppendReply(2, ME, True, match_index=5, round=0)
    assert not can_write_behind(effects_of(message=reply))


def test_only_a_leader_with_a_thread_for_its_disk_writes_behind():
    """Guards against followers, and disks synced in the event loop, that are taken for leaders."""
    assert not can_write_behind(effects_of(), replica=SimpleNamespace(is_leader=False))
    assert not can_write_behind(effects_of(), in_thread=False)
    assert not can_write_behind(Effects())
