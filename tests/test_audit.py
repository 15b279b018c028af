"""Audit chain and its file: tampering, torn writes, replay, gaps."""

from json import dumps, loads

import pytest

from siskintally.audit import EMPTY_HEAD, AuditFile, record_hash, record_to_line, verify_file
from siskintally.cell import Cell
from siskintally.cell_state_pb2 import AuditRecord, SetPreset
from siskintally.errors import DamagedDataError
from tests.cell_commands import Driver


@pytest.fixture
def chain():
    driver = Driver(Cell())
    driver.configure()
    for expect_version in (1, 1, 2):
        driver.change(SetPreset(preset="peak", expect_version=expect_version))
    return driver.cell.audit


def write_audit_file(chain, path):
    file = AuditFile(path=path)
    file.write(chain.recent)
    file.close()
    return path


def test_accepted_and_rejected_changes_are_recorded(chain):
    """Guards against a change or a refusal that leaves no trace."""
    assert [record.code for record in chain.recent] == [1000, 1000, 4009, 1000]
    second = chain.recent[1]
    assert (second.operator, second.verb) == ("ana", "preset")
    assert (second.from_value, second.to_value) == ("ordinary", "peak")
    assert chain.recent[0].previous == EMPTY_HEAD
    assert chain.head == chain.recent[-1].hash


def test_file_has_the_whole_chain(chain, tmp_path):
    """Guards against a file whose head differs from the one in the state."""
    findings = verify_file(write_audit_file(chain, tmp_path / "audit.log"))
    assert (findings.records, findings.head, findings.damage) == (4, chain.head, "")


def change_operator(lines):
    record = loads(lines[1])
    record["operator"] = "eva"
    lines[1] = dumps(record, separators=(",", ":")).encode() + b"\n"


def forge(line, **changes):
    """Return a changed record with a hash that matches it."""
    record = AuditRecord(**(loads(line) | changes))
    record.hash = record_hash(record)
    return record_to_line(record)


def forge_operator(lines):
    lines[1] = forge(lines[1], operator="eva")


def drop_line(lines):
    # The next record gets the dropped number, as a dropped line alone would count as a gap.
    lines[1:3] = [forge(lines[2], number=2)]


def swap_lines(lines):
    lines[1], lines[2] = lines[2], lines[1]


def add_field(lines):
    lines[1] = lines[1].replace(b"{", b'{"note":"x",', 1)


@pytest.mark.parametrize(
    "tamper", [change_operator, forge_operator, drop_line, swap_lines, add_field]
)
def test_tampering_is_found(chain, tmp_path, tamper):
    """Guards against a changed, dropped, or moved record that the check passes."""
    path = write_audit_file(chain, tmp_path / "audit.log")
    lines = path.read_bytes().splitlines(keepends=True)
    tamper(lines)
    path.write_bytes(b"".join(lines))
    assert verify_file(path).damage
    with pytest.raises(DamagedDataError):
        AuditFile(path=path)


def test_missing_record_is_reported_as_a_gap(chain, tmp_path):
    """Guards against an unreported gap; a store that was down for long has one legitimately."""
    path = write_audit_file(chain, tmp_path / "audit.log")
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(b"".join(lines[:1] + lines[2:]))
    assert verify_file(path).gaps == ["records 2 to 2"]


def test_damaged_file_is_set_aside(chain, tmp_path):
    """Guards against evidence of damage that is overwritten."""
    path = write_audit_file(chain, tmp_path / "audit.log")
    path.write_bytes(b"x" + path.read_bytes())
    file = AuditFile.recover(path=path)
    file.write(chain.recent)
    file.close()
    assert verify_file(path).records == 4
    assert (tmp_path / "audit.log.damaged-1").exists()


@pytest.mark.parametrize("cut", [1, 20, 150])
def test_torn_last_line_is_written_again(chain, tmp_path, cut):
    """Guards against a file that stays damaged after a crash during a write."""
    path = write_audit_file(chain, tmp_path / "audit.log")
    intact = path.read_bytes()
    path.write_bytes(intact[:-cut])
    write_audit_file(chain, path)
    assert path.read_bytes() == intact


def test_replay_after_restart_writes_nothing_twice(chain, tmp_path):
    """Guards against duplicate records when a store applies its log again."""
    path = write_audit_file(chain, tmp_path / "audit.log")
    intact = path.read_bytes()
    file = AuditFile(path=path)
    for record in chain.recent:
        file.write([record])
    file.close()
    assert path.read_bytes() == intact


def test_record_that_contradicts_the_file_is_refused(chain, tmp_path):
    """Guards against replicas that compute different chains without an error."""
    file = AuditFile(path=write_audit_file(chain, tmp_path / "audit.log"))
    record = type(chain.recent[-1])()
    record.CopyFrom(chain.recent[-1])
    record.hash = "f" * 64
    with pytest.raises(DamagedDataError):
        file.write([record])
    file.close()
