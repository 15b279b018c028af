"""Data folder: recovery after torn writes, damage, and lost files."""

from tempfile import TemporaryDirectory

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.effects import Effects
from siskintally.errors import (
    BadRequestError,
    BadSettingsError,
    DamagedDataError,
    StoppedError,
)
from siskintally.journal import Journal, bootstrap_replica, set_aside
from siskintally.messages import Entry, EntryKind, HardState, Identity, Member
from siskintally.persistent_state import PersistentState
from siskintally.raftlog import RaftLog
from siskintally.records import pack_record


def reopen(folder):
    journal = Journal.open(folder, group="g", name="s1")
    journal.close()
    return journal


def effects_of(*, hard_state=None, entries=(), snapshot=None):
    effects = Effects()
    effects.hard_state = hard_state
    effects.entries.extend(entries)
    effects.snapshot = snapshot
    return effects


class ExpectedContent:
    """Expected content of the folder, computed in memory."""

    def __init__(self):
        self.hard_state = HardState(term=0, vote=None)
        self.log = RaftLog()

    def persistent_state(self):
        """Return the expected content."""
        return PersistentState(
            term=self.hard_state.term,
            vote=self.hard_state.vote,
            snapshot=self.log.snapshot,
            base_index=self.log.base_index,
            base_term=self.log.base_term,
            entries=tuple(self.log.entries),
        )

    def append(self, journal, first, commands, term):
        """Write entries that replace those from ``first`` on."""
        entries = [Entry(first + n, term, EntryKind.COMMAND, c) for n, c in enumerate(commands)]
        self.log.truncate(first)
        for entry in entries:
            self.log.append(entry)
        journal.write(effects_of(entries=entries), self.persistent_state)


def write_sample_log(folder):
    """Make a sequence of writes to a new folder; return the expected content after each."""
    journal = Journal.open(folder, group="g", name="s1")
    expected = ExpectedContent()
    states = [expected.persistent_state()]
    members = (Member(journal.identity, True), Member(Identity("s2", "x"), False))
    for number in range(1, 7):
        if number == 4:
            expected.hard_state = HardState(term=2, vote=Identity("s2", "x"))
            journal.write(effects_of(hard_state=expected.hard_state), expected.persistent_state)
        else:
            expected.append(journal, expected.log.last_index + 1, [b"c%d" % number, b""], number)
        states.append(expected.persistent_state())
    entry = Entry(expected.log.last_index + 1, 7, EntryKind.MEMBERS, members=members)
    expected.log.append(entry)
    journal.write(effects_of(entries=[entry]), expected.persistent_state)
    states.append(expected.persistent_state())
    journal.close()
    return states


def test_flipping_any_byte_is_found(tmp_path):
    """Guards against acknowledged records that are lost or changed and still accepted."""
    write_sample_log(tmp_path / "g")
    expected = ExpectedContent()
    journal = Journal.open(tmp_path / "g", group="g", name="s1")
    expected.log = RaftLog(entries=journal.persistent_state.entries)
    expected.log.compact(5, b"state", keep=1)
    journal.write(effects_of(snapshot=expected.log.snapshot), expected.persistent_state)
    expected.append(journal, expected.log.last_index + 1, [b"x" * 700, b"y"], 9)
    journal.close()
    flips = 0
    for name in ("identity", "log", "snapshot-5"):
        path = tmp_path / "g" / name
        intact = path.read_bytes()
        for position in range(len(intact)):
            damaged = bytearray(intact)
            damaged[position] ^= 1 << (position % 8)
            path.write_bytes(damaged)
            with pytest.raises(DamagedDataError):
                reopen(tmp_path / "g")
            flips += 1
        path.write_bytes(intact)
    size = sum(path.stat().st_size for path in (tmp_path / "g").iterdir())
    assert flips == size > 900
    assert reopen(tmp_path / "g").persistent_state == expected.persistent_state()


def test_cutting_at_any_length_keeps_a_prefix(tmp_path):
    """Guards against a replica that cannot start after a torn write, or loads part of a record."""
    states = write_sample_log(tmp_path / "g")
    path = tmp_path / "g" / "log"
    intact = path.read_bytes()
    recovered = set()
    number_by_state = {state: number for number, state in enumerate(states)}
    for length in range(len(intact), -1, -1):
        path.write_bytes(intact[:length])
        try:
            persistent_state = reopen(tmp_path / "g").persistent_state
        except DamagedDataError:
            continue
        matching = [
            state
            for state in states
            if state.entries[: len(persistent_state.entries)] == persistent_state.entries
        ]
        assert matching and (persistent_state.term, persistent_state.vote) in {
            (state.term, state.vote) for state in states
        }
        recovered.add(number_by_state.get(persistent_state))
    assert recovered >= set(range(len(states)))


def test_sectors_that_were_not_written_are_a_torn_write(tmp_path):
    """Guards against a refusal to start when a crash left zeros in the last sectors of the file."""
    states = write_sample_log(tmp_path / "g")
    path = tmp_path / "g" / "log"
    intact = path.read_bytes()
    torn = (intact + pack_record(b"z" * 2000))[: (len(intact) // 512 + 2) * 512]
    for tail in (b"\0" * 100, torn[len(intact) :] + b"\0" * 700):
        path.write_bytes(intact + tail)
        assert reopen(tmp_path / "g").persistent_state == states[-1]


@pytest.mark.parametrize("name", ["identity", "log", "snapshot-1"])
def test_lost_file_is_damage(tmp_path, name):
    """Guards against a second vote in a term by a replica whose log was lost."""
    bootstrap_replica(tmp_path / "g", group="g", name="s1")
    (tmp_path / "g" / name).unlink()
    with pytest.raises(DamagedDataError):
        reopen(tmp_path / "g")


def test_damaged_folder_is_set_aside_and_the_incarnation_is_new(tmp_path):
    """Guards against a vote under an identity whose earlier votes are lost."""
    old = bootstrap_replica(tmp_path / "g", group="g", name="s1")
    for number in (1, 2):
        (tmp_path / "g" / "log").unlink()
        assert set_aside(tmp_path / "g").name == f"g.damaged-{number}"
        reopened = reopen(tmp_path / "g")
        assert reopened.identity != old and reopened.persistent_state == PersistentState()


def test_group_is_bootstrapped_once(tmp_path):
    """Guards against a second bootstrap that would drop the log."""
    identity = bootstrap_replica(tmp_path / "g", group="g", name="s1")
    with pytest.raises(BadRequestError):
        bootstrap_replica(tmp_path / "g", group="g", name="s1")
    persistent_state = reopen(tmp_path / "g").persistent_state
    assert persistent_state.snapshot.members == (Member(identity, True),)


def test_folder_of_another_replica_is_refused(tmp_path):
    """Guards against a replica that runs on the disk of another one, after disks were swapped."""
    bootstrap_replica(tmp_path / "g", group="g", name="s1")
    with pytest.raises(BadSettingsError):
        Journal.open(tmp_path / "g", group="g", name="s2")


def test_folder_is_used_by_one_process(tmp_path):
    """Guards against two processes that vote with one identity."""
    journal = Journal.open(tmp_path / "g", group="g", name="s1")
    with pytest.raises(StoppedError):
        reopen(tmp_path / "g")
    journal.close()
    reopen(tmp_path / "g")


def test_crash_between_the_steps_of_a_compaction(tmp_path):
    """Guards against a log whose snapshot does not exist yet, or no longer exists."""
    states = write_sample_log(tmp_path / "g")
    (tmp_path / "g" / "snapshot-3").write_bytes(pack_record(b"newer, not in use"))
    (tmp_path / "g" / "log.tmp").write_bytes(b"half")
    assert reopen(tmp_path / "g").persistent_state == states[-1]
    assert {path.name for path in (tmp_path / "g").iterdir()} == {"identity", "log"}


# The consensus core removes entries only by appending others in their place.
COMMANDS = st.lists(st.binary(max_size=40), min_size=1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(0, 3), COMMANDS),
        st.tuples(st.just("vote"), st.integers(1, 9), st.booleans()),
        st.tuples(st.just("compact"), st.integers(0, 6), st.integers(0, 4)),
        st.tuples(st.just("reopen"), st.integers(0, 60), st.just(0)),
    ),
    max_size=12,
)


@settings(deadline=None, max_examples=60)
@given(steps=STEPS)
def test_folder_holds_what_was_written(steps):
    """Guards recovery after any sequence of writes, truncations, snapshots and torn writes."""
    with TemporaryDirectory() as folder:
        journal = Journal.open(f"{folder}/g", group="g", name="s1")
        expected = ExpectedContent()
        for kind, number, value in steps:
            if kind == "append":
                first = max(expected.log.snapshot.index, expected.log.last_index - number) + 1
                expected.append(journal, first, value, term=number + 1)
            elif kind == "vote":
                vote = Identity("s2", "x") if value else None
                expected.hard_state = HardState(term=number, vote=vote)
                journal.write(effects_of(hard_state=expected.hard_state), expected.persistent_state)
            elif kind == "compact":
                index = min(expected.log.last_index, expected.log.snapshot.index + number)
                if index > expected.log.snapshot.index:
                    expected.log.compact(index, b"state%d" % index, keep=value)
                    journal.write(
                        effects_of(snapshot=expected.log.snapshot), expected.persistent_state
                    )
            else:
                journal.close()
                with open(f"{folder}/g/log", "ab") as file:
                    file.write(pack_record(b"not acknowledged" * 3)[:number])
                journal = Journal.open(f"{folder}/g", group="g", name="s1")
                assert journal.persistent_state == expected.persistent_state()
        journal.close()
        assert reopen(f"{folder}/g").persistent_state == expected.persistent_state()
