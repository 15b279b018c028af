"""Data folder of a replica: files with its identity, its log and its latest snapshot.

>>> from pathlib import Path
>>> from tempfile import TemporaryDirectory
>>> from siskintally.journal import Journal
>>> with TemporaryDirectory() as folder:
...     journal = Journal.open(Path(folder) / "cell", group="cell", name="s1")
...     journal.close()
>>> journal.identity.name, journal.persistent_state.term
('s1', 0)
"""

from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from uuid import uuid4

from google.protobuf.message import DecodeError

from siskintally.encoding import decode_entry, decode_members, encode_entry, encode_members
from siskintally.errors import (
    BadRequestError,
    BadSettingsError,
    DamagedDataError,
    StoppedError,
)
from siskintally.journal_pb2 import (
    LogHead,
    LogRecord,
    StoredHardState,
    StoredIdentity,
    StoredSnapshot,
)
from siskintally.messages import Identity, Snapshot
from siskintally.persistent_state import PersistentState, bootstrap_state
from siskintally.raftlog import EMPTY_SNAPSHOT
from siskintally.records import (
    TEMPORARY_SUFFIX,
    append_and_sync,
    pack_record,
    replace_file,
    sync_folder,
    unpack_records,
    unpack_single_record,
)

IDENTITY_FILE = "identity"
LOG_FILE = "log"
SNAPSHOT_PREFIX = "snapshot-"
DAMAGED_SUFFIX = ".damaged-"
INCARNATION_CHARS = 16


class Journal:
    """Open data folder of one replica; holds a file lock until it is closed.

    ``log_bytes``: size of the log file.

    :param folder: data folder of the replica.
    :param persistent_state: persistent state read when the folder was opened.
    :param lock: open file that holds the lock.
    """

    __slots__ = ("_group", "_lock", "_log", "folder", "identity", "log_bytes", "persistent_state")

    def __init__(self, *, folder, group, identity, persistent_state, lock):
        self.folder = folder
        self.identity = identity
        self.persistent_state = persistent_state
        self.log_bytes = 0
        self._group = group
        self._lock = lock
        self._log = None

    @classmethod
    def open(cls, folder, *, group, name, incarnation=None):
        """Open and read a data folder; a missing or empty one gets a new incarnation.

        The log file is rewritten, since after a failed sync its pages may be in memory only.

        :param incarnation: incarnation for an empty folder; random by default.
        :raises DamagedDataError: the data is damaged or incomplete; see :func:`set_aside`.
        :raises BadSettingsError: the folder belongs to another replica and is left unchanged.
        :raises StoppedError: another process has the folder open.
        """
        folder = Path(folder)
        _initialize_folder(folder, group, name, incarnation)
        lock = _lock_folder(folder / IDENTITY_FILE)
        try:
            identity = _read_identity(folder, group, name)
            persistent_state = _read_log(folder, group, identity)
            journal = cls(
                folder=folder,
                group=group,
                identity=identity,
                persistent_state=persistent_state,
                lock=lock,
            )
            journal._replace_log(persistent_state)
            _remove_other_snapshots(folder, persistent_state.snapshot.index)
        except BaseException:
            lock.close()
            raise
        return journal

    def write(self, effects, persistent_state):
        """Write the hard state, entries or snapshot of a transition and sync them; blocks.

        :param effects: :class:`~siskintally.effects.Effects` of the transition.
        :param persistent_state: function that returns the :class:`PersistentState` after the
            transition; it is called only if there is a snapshot.
        :raises OSError: a write or sync failed; the journal must be opened again.
        """
        if effects.snapshot is not None:
            self._write_snapshot(persistent_state())
            return
        records = []
        if effects.hard_state is not None:
            record = LogRecord(hard_state=_encode_hard_state(effects.hard_state))
            records.append(pack_record(record.SerializeToString()))
        for entry in effects.entries:
            records.append(pack_record(LogRecord(entry=encode_entry(entry)).SerializeToString()))
        data = b"".join(records)
        append_and_sync(self._log, data)
        self.log_bytes += len(data)

    def close(self):
        """Close the files and release the lock."""
        if self._log is not None:
            self._log.close()
        self._lock.close()

    def _write_snapshot(self, persistent_state):
        path = self.folder / f"{SNAPSHOT_PREFIX}{persistent_state.snapshot.index}"
        replace_file(path, _encode_snapshot(persistent_state.snapshot))
        self._replace_log(persistent_state)
        _remove_other_snapshots(self.folder, persistent_state.snapshot.index)

    def _replace_log(self, persistent_state):
        """Replace the log file with one whose head record has the term, vote and entries."""
        data = _encode_head(persistent_state, self._group, self.identity)
        path = self.folder / LOG_FILE
        if self._log is not None:
            self._log.close()
        replace_file(path, data)
        self._log = open(path, "ab", buffering=0)  # noqa: SIM115
        self.log_bytes = len(data)


def bootstrap_replica(folder, *, group, name, voters=(), incarnation=None):
    """Bootstrap a group: write its initial state into an empty data folder.

    By default this replica is the only voter, and the other stores join it with incarnations of
    their own.

    :param voters: identities of the first voters, if there are several; the data folder of each
        must be bootstrapped with the same ones.
    :param incarnation: incarnation of this replica, random by default.
    :raises BadRequestError: the folder already holds the state of a replica.
    """
    journal = Journal.open(folder, group=group, name=name, incarnation=incarnation)
    try:
        if journal.persistent_state != PersistentState():
            raise BadRequestError(f"{folder}: the group {group!r} is already bootstrapped here")
        persistent_state = bootstrap_state(voters or (journal.identity,))
        journal._write_snapshot(persistent_state)
    finally:
        journal.close()
    return journal.identity


def set_aside(folder):
    """Rename a damaged data folder, so that the replica rejoins with a new incarnation.

    :returns: the new path; the folder is kept for inspection.
    """
    folder = Path(folder)
    number = 1
    while (target := folder.with_name(f"{folder.name}{DAMAGED_SUFFIX}{number}")).exists():
        number += 1
    folder.rename(target)
    sync_folder(folder.parent)
    return target


def _initialize_folder(folder, group, name, incarnation):
    """Initialize an empty data folder with an identity and an empty log.

    The identity is written last, and a folder that lacks one of the two files counts as damaged:
    a replica that lost its log must not vote again in a term in which it has voted.
    """
    if not folder.exists():
        folder.mkdir(parents=True)
        sync_folder(folder.parent)
    for leftover in folder.glob(f"*{TEMPORARY_SUFFIX}"):
        leftover.unlink()
    if any(folder.iterdir()):
        return
    incarnation = incarnation or uuid4().hex[:INCARNATION_CHARS]
    identity = Identity(name=name, incarnation=incarnation)
    replace_file(folder / LOG_FILE, _encode_head(PersistentState(), group, identity))
    stored = StoredIdentity(group=group, name=name, incarnation=incarnation)
    replace_file(folder / IDENTITY_FILE, pack_record(stored.SerializeToString()))


def _lock_folder(path):
    try:
        file = open(path, "rb")  # noqa: SIM115
    except FileNotFoundError as error:
        raise DamagedDataError(f"{path}: the identity file is missing") from error
    try:
        flock(file, LOCK_EX | LOCK_NB)
    except BlockingIOError as error:
        file.close()
        raise StoppedError(f"{path}: another process has this data folder open") from error
    return file


def _parse(type_, payload, name):
    try:
        return type_.FromString(payload)
    except DecodeError as error:
        raise DamagedDataError(f"{name}: a record cannot be parsed") from error


def _read_identity(folder, group, name):
    data = (folder / IDENTITY_FILE).read_bytes()
    stored = _parse(StoredIdentity, unpack_single_record(data, name=IDENTITY_FILE), IDENTITY_FILE)
    if (stored.group, stored.name) != (group, name):
        raise BadSettingsError(
            f"{folder}: belongs to {stored.name!r} of group {stored.group!r}, not to {name!r}"
        )
    return Identity(name=stored.name, incarnation=stored.incarnation)


def _read_log(folder, group, identity):
    path = folder / LOG_FILE
    if not path.exists():
        raise DamagedDataError(f"{path}: the log file is missing")
    payloads = unpack_records(path.read_bytes(), name=LOG_FILE)
    first = next(payloads, None)
    record = _parse(LogRecord, first, LOG_FILE) if first is not None else LogRecord()
    if record.WhichOneof("body") != "head":
        raise DamagedDataError(f"{path}: the log does not begin with a head record")
    head = record.head
    if (head.group, head.name, head.incarnation) != (group, *identity):
        raise DamagedDataError(f"{path}: belongs to another replica")
    return _replay(head, payloads, _read_snapshot(folder, head.snapshot_index))


def _replay(head, payloads, snapshot):
    hard_state = head.hard_state
    entries = []
    for body in head.entries:
        _insert_entry(entries, body, head.base_index)
    for payload in payloads:
        record = _parse(LogRecord, payload, LOG_FILE)
        record_type = record.WhichOneof("body")
        if record_type == "hard_state":
            hard_state = record.hard_state
        elif record_type == "entry":
            _insert_entry(entries, record.entry, head.base_index)
        else:
            raise DamagedDataError(f"{LOG_FILE}: unexpected record of type {record_type}")
    if head.base_index + len(entries) < snapshot.index:
        raise DamagedDataError(f"{LOG_FILE}: entries before the snapshot are missing")
    vote = Identity(hard_state.vote_name, hard_state.vote_incarnation)
    return PersistentState(
        term=hard_state.term,
        vote=vote if vote.name else None,
        snapshot=snapshot,
        base_index=head.base_index,
        base_term=head.base_term,
        entries=tuple(entries),
    )


def _insert_entry(entries, body, base_index):
    position = body.index - base_index - 1
    if not 0 <= position <= len(entries):
        raise DamagedDataError(f"{LOG_FILE}: entry {body.index} is out of sequence")
    del entries[position:]
    try:
        entries.append(decode_entry(body))
    except ValueError as error:
        raise DamagedDataError(f"{LOG_FILE}: {error}") from error


def _read_snapshot(folder, index):
    if index == 0:
        return EMPTY_SNAPSHOT
    path = folder / f"{SNAPSHOT_PREFIX}{index}"
    if not path.exists():
        raise DamagedDataError(f"{path}: the snapshot file is missing")
    stored = _parse(
        StoredSnapshot, unpack_single_record(path.read_bytes(), name=path.name), path.name
    )
    if stored.index != index:
        raise DamagedDataError(f"{path}: contains a snapshot at index {stored.index}")
    members = decode_members(stored.members)
    return Snapshot(index=index, term=stored.term, members=members, data=stored.data)


def _remove_other_snapshots(folder, index):
    for path in folder.glob(f"{SNAPSHOT_PREFIX}*"):
        if path.name != f"{SNAPSHOT_PREFIX}{index}":
            path.unlink()


def _encode_hard_state(hard_state):
    vote = hard_state.vote or Identity("", "")
    return StoredHardState(
        term=hard_state.term, vote_name=vote.name, vote_incarnation=vote.incarnation
    )


def _encode_snapshot(snapshot):
    stored = StoredSnapshot(
        index=snapshot.index,
        term=snapshot.term,
        members=encode_members(snapshot.members),
        data=snapshot.data,
    )
    return pack_record(stored.SerializeToString())


def _encode_head(persistent_state, group, identity):
    head = LogHead(
        group=group,
        name=identity.name,
        incarnation=identity.incarnation,
        snapshot_index=persistent_state.snapshot.index,
        base_index=persistent_state.base_index,
        base_term=persistent_state.base_term,
        hard_state=_encode_hard_state(persistent_state),
        entries=[encode_entry(entry) for entry in persistent_state.entries],
    )
    return pack_record(LogRecord(head=head).SerializeToString())
