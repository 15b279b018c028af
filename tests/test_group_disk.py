"""Which effects a leader may send before they are on its own disk."""

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

SELF, PEER = Identity("a", "a0"), Identity("b", "b0")
LEADER = SimpleNamespace(is_leader=True)


def effects_of(*, message=None):
    """Return the effects of a proposal, with a message if one is given."""
    effects = Effects()
    effects.entries = [Entry(5, 2, EntryKind.COMMAND, b"x")]
    if message is not None:
        effects.messages = [Envelope(to=PEER, message=message)]
    return effects


def can_write_behind(effects, *, replica=LEADER, in_thread=True):
    """Return whether a group disk lets a replica send these effects before it writes them."""
    disk = GroupDisk(folder=None, group="g", process="a", in_thread=in_thread)
    return disk.can_write_behind(effects, replica)


def test_entries_of_a_leader_may_be_sent_first():
    """Guards against commits that wait for a slow disk of the leader."""
    request = AppendRequest(2, SELF, 4, 2, 4, 1)
    assert can_write_behind(effects_of(message=request))


@pytest.mark.parametrize("field", ["hard_state", "snapshot"])
def test_a_term_a_vote_and_a_snapshot_are_on_disk_first(field):
    """Guards against a second vote in a term, and a log without its beginning, after a crash."""
    effects = effects_of()
    setattr(effects, field, HardState(term=3, vote=SELF))
    assert not can_write_behind(effects)


def test_the_reply_of_a_follower_waits_for_its_disk():
    """Guards against a reply that counts an entry as stored and leaves before the sync.

    A batch can hold the reply of a follower and its election as leader.
    """
    reply = AppendReply(2, SELF, True, match_index=5, round=0)
    assert not can_write_behind(effects_of(message=reply))


def test_only_a_leader_with_a_thread_for_its_disk_writes_behind():
    """Guards against write-behind by a follower, or on a disk that the event loop syncs."""
    assert not can_write_behind(effects_of(), replica=SimpleNamespace(is_leader=False))
    assert not can_write_behind(effects_of(), in_thread=False)
    assert not can_write_behind(Effects())
