"""Audit log: hash chain of operator changes, and the append-only file that stores it.

>>> from siskintally.audit import AuditChain
>>> chain = AuditChain()
>>> first = chain.append(index=7, time=1.0, operator="ana", request_id="r1", verb="preset",
...                      what="preset", from_value="ordinary", to_value="peak", code=1000)
>>> chain.head == first.hash, chain.number
(True, 1)
"""

from hashlib import sha256
from json import dumps, loads
from os import O_APPEND, O_CREAT, O_RDWR, close, fdatasync, fsync, ftruncate, write
from os import open as os_open
from pathlib import Path

from siskintally.cell_state_pb2 import AuditRecord
from siskintally.errors import DamagedDataError
from siskintally.log import get_logger

EMPTY_HEAD = "0" * 64
# A store that missed up to 1,000 changes can complete its file from a snapshot.
RECENT_RECORDS = 1000
RECORD_FIELDS = tuple(field.name for field in AuditRecord.DESCRIPTOR.fields)
_HASHED_FIELDS = tuple(name for name in RECORD_FIELDS if name != "hash")

log = get_logger("audit")


def record_hash(record):
    """Return the hash of all fields of a record except ``hash``; it includes the previous hash."""
    fields = [getattr(record, name) for name in _HASHED_FIELDS]
    return sha256(dumps(fields, separators=(",", ":")).encode()).hexdigest()


def record_to_line(record):
    """Return a record as one line of JSON."""
    fields = {name: getattr(record, name) for name in RECORD_FIELDS}
    return dumps(fields, separators=(",", ":")).encode() + b"\n"


def record_from_line(line):
    """Parse a record from a line.

    :raises DamagedDataError: the line is not a record, or its hash does not match.
    """
    try:
        fields = loads(line)
        record = AuditRecord(**{name: fields[name] for name in RECORD_FIELDS})
    except (ValueError, KeyError, TypeError) as error:
        raise DamagedDataError(f"not an audit record: {error!r}") from error
    if record_hash(record) != record.hash or len(fields) != len(RECORD_FIELDS):
        raise DamagedDataError(f"audit record {record.number}: hash does not match")
    return record


class AuditChain:
    """End of the hash chain and the latest records; part of the cell state.

    :param number: number of the last record.
    :param head: hash of the last record.
    :param recent: the latest records, oldest first.
    """

    __slots__ = ("head", "number", "recent")

    def __init__(self, *, number=0, head=EMPTY_HEAD, recent=()):
        self.number = number
        self.head = head
        self.recent = list(recent)

    def append(self, **fields):
        """Append a record to the chain and return it.

        :param fields: all fields of AuditRecord except number, previous and hash.
        """
        record = AuditRecord(number=self.number + 1, previous=self.head, **fields)
        record.hash = record_hash(record)
        self.number = record.number
        self.head = record.hash
        self.recent.append(record)
        if len(self.recent) > 2 * RECENT_RECORDS:
            del self.recent[:-RECENT_RECORDS]
        return record

    def records_after(self, number):
        """Return the kept records with a larger number."""
        count = self.number - number
        return self.recent[-count:] if count > 0 else []


class ChangeDescription:
    """Description of a change for its audit record; filled in while the change is applied.

    :param verb: verb of the operator call.

    ``subject`` names what is changed; ``old_value`` and ``new_value`` are its old and new values.
    """

    __slots__ = ("new_value", "old_value", "subject", "verb")

    def __init__(self, *, verb):
        self.verb = verb
        self.subject = ""
        self.old_value = ""
        self.new_value = ""


class AuditFindings:
    """Result of the check of an audit file.

    :param records: number of valid records.
    :param head: hash of the last valid record.
    :param last: number of the last valid record.
    :param gaps: descriptions of the ranges of records that this store never received.
    :param damage: description of the first damage, or empty.
    :param valid_bytes: length of the valid lines, without a torn last line.
    """

    __slots__ = ("damage", "gaps", "head", "last", "records", "valid_bytes")

    def __init__(self):
        self.records = 0
        self.head = EMPTY_HEAD
        self.last = 0
        self.gaps = []
        self.damage = ""
        self.valid_bytes = 0


def verify_lines(lines):
    """Check the hash chain in the lines of an audit file.

    A gap is a range of record numbers that the store never received, because it was down for too
    many changes; it is no damage. A line without a line feed is torn: the process ended while it
    wrote the line.

    :param lines: iterable of bytes, each with its line feed.
    :returns: :class:`AuditFindings`.
    """
    findings = AuditFindings()
    for number, line in enumerate(lines, start=1):
        if not line.endswith(b"\n"):
            break
        try:
            record = record_from_line(line)
        except DamagedDataError as error:
            findings.damage = f"line {number}: {error}"
            break
        if record.number <= findings.last:
            findings.damage = f"line {number}: record {record.number} follows {findings.last}"
            break
        if record.number > findings.last + 1:
            findings.gaps.append(f"records {findings.last + 1} to {record.number - 1}")
        elif record.previous != findings.head:
            findings.damage = f"line {number}: previous hash does not match"
            break
        findings.records += 1
        findings.last = record.number
        findings.head = record.hash
        findings.valid_bytes += len(line)
    return findings


def verify_file(path):
    """Check an audit file; a missing file counts as an empty chain."""
    try:
        with Path(path).open("rb") as lines:
            return verify_lines(lines)
    except FileNotFoundError:
        return AuditFindings()


class AuditFile:
    """Append-only file of audit records, synced to disk after each append.

    :param path: file, created if missing; a torn last line is truncated.
    :raises DamagedDataError: the hash chain in the file is broken.
    """

    __slots__ = ("_descriptor", "_size_bytes", "head", "last", "path")

    def __init__(self, *, path):
        self.path = Path(path)
        findings = verify_file(self.path)
        if findings.damage:
            raise DamagedDataError(f"{self.path.name}: {findings.damage}")
        self.last = findings.last
        self.head = findings.head
        self._descriptor = os_open(self.path, O_RDWR | O_CREAT | O_APPEND, 0o600)
        self._size_bytes = findings.valid_bytes
        ftruncate(self._descriptor, self._size_bytes)
        fsync(self._descriptor)
        _sync_folder(self.path.parent)

    @classmethod
    def recover(cls, *, path):
        """Open a file; a damaged one is renamed with the suffix ``.damaged-<n>`` and replaced."""
        try:
            return cls(path=path)
        except DamagedDataError as error:
            path = Path(path)
            number = len(list(path.parent.glob(f"{path.name}.damaged-*"))) + 1
            renamed = path.with_name(f"{path.name}.damaged-{number}")
            path.rename(renamed)
            log.error("audit file damaged", kept_as=renamed.name, error=str(error))
            return cls(path=path)

    def write(self, records):
        """Append records and sync; records that the file already has are skipped.

        :raises DamagedDataError: a record does not match the file; nothing was written.
        """
        lines = []
        last, head = self.last, self.head
        for record in records:
            if record.number == last and record.hash != head:
                raise DamagedDataError(f"audit record {last} differs from the one in the file")
            if record.number <= last:
                continue
            if record.number == last + 1 and record.previous != head:
                raise DamagedDataError(f"audit record {record.number} does not follow the file")
            lines.append(record_to_line(record))
            last, head = record.number, record.hash
        if lines:
            self._append(b"".join(lines))
        self.last, self.head = last, head

    def _append(self, data):
        try:
            view = memoryview(data)
            while view:
                view = view[write(self._descriptor, view) :]
            fdatasync(self._descriptor)
        except OSError:
            # A partly written line, as on a full disk, must not precede the next record.
            ftruncate(self._descriptor, self._size_bytes)
            raise
        self._size_bytes += len(data)

    def close(self):
        """Close the file."""
        close(self._descriptor)


def _sync_folder(folder):
    descriptor = os_open(folder, 0)
    try:
        fsync(descriptor)
    finally:
        close(descriptor)
