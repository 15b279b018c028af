"""Checksummed records for append-only files, and atomic replacement of files.

A record is a header (length, xxh32 of the length, xxh64 of the rest), the payload, and a last byte
that is not zero.

>>> from siskintally.records import pack_record, unpack_records
>>> list(unpack_records(pack_record(b"one") + pack_record(b"two")[:-2], name="log"))
[b'one']
"""

from os import O_DIRECTORY, O_RDONLY, fdatasync, fsync
from os import close as close_descriptor
from os import open as open_descriptor
from struct import Struct

from xxhash import xxh32_intdigest, xxh64_intdigest

from siskintally.errors import DamagedDataError

HEADER = Struct("<IIQ")
LENGTH = Struct("<I")
LAST_BYTE = b"\xa5"
SECTOR_BYTES = 512
TEMPORARY_SUFFIX = ".tmp"


def pack_record(payload):
    """Return a payload as a record."""
    length = LENGTH.pack(len(payload) + 1)
    digest = xxh64_intdigest(payload + LAST_BYTE)
    header = HEADER.pack(len(payload) + 1, xxh32_intdigest(length), digest)
    return b"".join((header, payload, LAST_BYTE))


def unpack_records(data, *, name):
    """Yield the payloads of the records; ignore a last record that was only partly written.

    A record is partly written if the file ends before it does, or if its last sector and everything
    after it are zeros. Any other record with a wrong checksum is damaged, since it was synced.

    :param name: file name for error messages.
    :raises DamagedDataError: a record is damaged.
    """
    view = memoryview(data)
    start = 0
    while len(data) - start >= HEADER.size:
        length, length_digest, digest = HEADER.unpack_from(data, start)
        body_start = start + HEADER.size
        is_length_valid = xxh32_intdigest(LENGTH.pack(length)) == length_digest
        end = body_start + length if is_length_valid else body_start
        if is_length_valid and end > len(data):
            return
        body = view[body_start:end]
        if not is_length_valid or not length or xxh64_intdigest(body) != digest:
            if _is_unwritten(data, start, end):
                return
            raise DamagedDataError(f"{name}: record at byte {start} is damaged")
        yield bytes(body[:-1])
        start = end


def _is_unwritten(data, start, end):
    """Return whether the file is zeros from the record's last sector, or its start, to the end."""
    last_sector = (end - 1) // SECTOR_BYTES * SECTOR_BYTES
    return not any(data[max(start, last_sector) :])


def unpack_single_record(data, *, name):
    """Return the payload of a file that holds one record.

    :raises DamagedDataError: the file contains anything but one complete record.
    """
    payloads = list(unpack_records(data, name=name))
    if len(payloads) != 1 or len(data) != HEADER.size + len(payloads[0]) + 1:
        raise DamagedDataError(f"{name}: expected exactly one complete record")
    return payloads[0]


def replace_file(path, data):
    """Replace a file atomically: write and sync a temporary file, rename it, sync the folder."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        fsync(file.fileno())
    temporary.rename(path)
    sync_folder(path.parent)


def append_and_sync(file, data):
    """Append to an unbuffered file and sync its data and size with fdatasync."""
    written = 0
    while written < len(data):
        written += file.write(data[written:])
    fdatasync(file.fileno())


def sync_folder(folder):
    """Sync the directory entries of a folder."""
    descriptor = open_descriptor(folder, O_RDONLY | O_DIRECTORY)
    try:
        fsync(descriptor)
    finally:
        close_descriptor(descriptor)
