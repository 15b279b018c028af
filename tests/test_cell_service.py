"""Calls to the cell leader: operators, long polls, reports, and malformed arguments."""

from json import dumps, loads
from string import printable

import pytest
from anyio import create_task_group, fail_after, run, sleep
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally import cell_service, spec
from siskintally.audit import AuditFile, verify_file
from siskintally.cell import Cell
from siskintally.cell_service import CellService
from siskintally.cell_state_pb2 import State
from siskintally.codes import Code
from siskintally.errors import BadRequestError, NotLeaderError
from siskintally.recorded_cell import RecordedCell
from siskintally.settings import parse
from siskintally.verbs import CHANGE_VERBS, READ_VERBS
from siskintally.wire_pb2 import JobProgress, JobReport, OperatorCall, SyncRequest
from tests.cell_commands import DOCUMENT, group
from tests.fake_group import FakeGroup

SETTINGS = parse(
    """
[cell]
name = "demo"
secret = "0123456789abcdef"
[[process]]
name = "s1"
role = "store"
domain = "fjeld-a"
region = "fjeld"
link = "127.0.0.1:7201"
data = "data"
[[group]]
name = "cell"
members = ["s1"]
[[group]]
name = "fjeld"
members = ["s1"]
domains = ["fjeld-a"]
"""
)


class ServiceHarness:
    """A cell service with a fake group."""

    __slots__ = ("group", "machine", "number", "service")

    def __init__(self, audit_file):
        self.machine = RecordedCell(cell=Cell(), audit_file=audit_file)
        self.group = FakeGroup(machine=self.machine)
        self.service = CellService(group=self.group, state_machine=self.machine, settings=SETTINGS)
        self.number = 0

    async def call(self, verb, arguments=None, *, request_id=None):
        """Return (code, answer) of an operator call."""
        self.number += 1
        reply = await self.service.operator(
            OperatorCall(
                request_id=request_id or f"r{self.number}",
                operator="ana",
                verb=verb,
                arguments=arguments if isinstance(arguments, bytes) else dumps(arguments).encode(),
            )
        )
        return reply.code, loads(reply.answer)

    async def sync(self, since, wait_s=0):
        """Poll as the domain group."""
        capacity = group("fjeld").capacity
        return await self.service.sync(
            SyncRequest(group="fjeld", since=since, wait_s=wait_s, capacity=capacity)
        )


@pytest.fixture
def harness(tmp_path):
    return ServiceHarness(AuditFile(path=tmp_path / "audit.log"))


def test_operator_calls_from_configuration_to_the_end_of_a_job(harness):
    """Guards against verbs that reach the wrong change or an unreadable answer."""

    async def main():
        assert await harness.call("submit", {"name": "a", "team": "ski", "kind": "batch"}) == (
            4000,
            {"message": "cpu_milli, memory_mb, accelerators: expected one above 0"},
        )
        job = {"name": "a", "team": "ski", "kind": "batch", "cpu_milli": 500}
        assert (await harness.call("submit", job))[0] == Code.NO_CONFIG
        change = {"document": DOCUMENT, "expect_version": 0}
        assert (await harness.call("config", change))[1]["version"] == 1
        assert (await harness.call("config", change))[1]["version"] == 1
        assert (await harness.call("config", {}))[1]["document"] == DOCUMENT
        await harness.sync(0)
        code, submitted = await harness.call("submit", job)
        assert (code, submitted["split"]) == (1000, {"fjeld": 1})
        rows = [JobProgress(job_id=submitted["job"], succeeded=1)]
        await harness.service.report(JobReport(group="fjeld", jobs=rows))
        (row,) = (await harness.call("jobs", {"prefix": "a-"}))[1]["jobs"]
        assert (row["state"], row["succeeded"]) == ("succeeded", 1)
        _, status = await harness.call("status", {})
        assert status["groups"][0]["workers"] == 8
        _, audit = await harness.call("audit", {"verify": True})
        assert [row["code"] for row in audit["rows"]] == [2007, 1000, 4009, 1000]
        assert (audit["file"]["records"], audit["file"]["damage"]) == (4, "")

    run(main)


def test_audit_check_finds_a_changed_file(harness):
    """Guards against a check that verifies the replicated state and not the file."""

    async def main():
        await harness.call("preset", {"preset": "peak", "expect_version": 0})
        path = harness.machine.audit_file.path
        path.write_bytes(path.read_bytes().replace(b'"ana"', b'"eva"'))
        _, audit = await harness.call("audit", {"verify": True})
        assert audit["file"]["damage"]

    run(main)


def test_poll_is_answered_at_once_by_a_change_and_empty_after_the_wait(harness, monkeypatch):
    """Guards against a configuration that arrives only with the next poll."""
    # Without the wake-up the poll would see the change only at its next check of the leadership.
    monkeypatch.setattr(cell_service, "LEADER_CHECK_S", 60.0)

    async def main():
        empty = await harness.sync(0, wait_s=0.05)
        assert (empty.index, len(empty.jobs)) == (0, 0)
        replies = []

        async def poll():
            replies.append(await harness.sync(0, wait_s=5))

        with fail_after(3):
            async with create_task_group() as tasks:
                tasks.start_soon(poll)
                await sleep(0.05)
                await harness.call("config", {"document": DOCUMENT, "expect_version": 0})
        assert replies[0].config.version == 1
        assert (await harness.sync(replies[0].index)).index == replies[0].index

    run(main)


def test_poll_ends_when_leadership_is_lost(harness):
    """Guards against a domain that waits on a store that no longer learns of changes."""

    async def step_down():
        await sleep(0.05)
        harness.group.is_leader, harness.group.leader = False, "s2"

    async def main():
        async with create_task_group() as tasks:
            tasks.start_soon(step_down)
            with fail_after(4), pytest.raises(NotLeaderError) as caught:
                await harness.sync(0, wait_s=5)
            assert caught.value.leader == "s2"

    run(main)


def test_follower_names_the_leader(harness):
    """Guards against a follower that answers an operator from outdated state."""

    async def main():
        harness.group.is_leader, harness.group.leader = False, "s2"
        for verb in READ_VERBS + CHANGE_VERBS:
            with pytest.raises(NotLeaderError):
                await harness.call(verb, {})
        with pytest.raises(NotLeaderError):
            await harness.service.report(JobReport(group="fjeld"))

    run(main)


def test_unknown_group_is_refused(harness):
    """Guards against unreplicated state that grows with group names that are not configured."""

    async def main():
        with pytest.raises(BadRequestError):
            await harness.service.sync(SyncRequest(group="atlantis"))

    run(main)


def test_restored_snapshot_fills_the_audit_file(harness, tmp_path):
    """Guards against a store that was down and then lacks audit records."""

    async def main():
        for number in range(5):
            await harness.call("preset", {"preset": "peak", "expect_version": number})

    run(main)
    late_cell = RecordedCell(cell=Cell(), audit_file=AuditFile(path=tmp_path / "other.log"))
    late_cell.restore(harness.machine.snapshot())
    assert (tmp_path / "other.log").read_bytes() == (tmp_path / "audit.log").read_bytes()
    assert verify_file(tmp_path / "other.log").records == 5


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(printable + "\ud800é", max_size=8)
    | st.sampled_from(["peak", "batch", "worker", "ski"]),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)
KEYS = st.sampled_from(
    (*spec.SPEC_KEYS, "jobs", "prefix", "draining", "preset", "expect_version", "document", "extra")
)
ARGUMENTS = st.binary(max_size=60) | st.dictionaries(KEYS, JSON_VALUES, max_size=6).map(
    lambda fields: dumps(fields).encode()
)


def without_refusal_record(snapshot):
    """Return the state without the fields that record a refusal: reply, audit record, time."""
    state = State.FromString(snapshot)
    for field in ("now", "groups", "largest_at", "replies", "records", "audit_number"):
        state.ClearField(field)
    state.audit_head = ""
    return state


@settings(max_examples=1000, deadline=None)
@given(verb=st.sampled_from((*READ_VERBS, *CHANGE_VERBS, "reboot", "")), arguments=ARGUMENTS)
def test_malformed_arguments_give_a_code_and_change_nothing(verb, arguments):
    """Guards against arguments that crash the leader, or change state although refused."""
    harness = ServiceHarness(_DiscardingAuditFile())
    before = harness.machine.snapshot()

    async def main():
        code, answer = await harness.call(verb, arguments)
        assert code in set(Code)
        assert code != Code.INTERNAL
        assert code < 2000 or answer["message"]
        if code >= 2000:
            assert without_refusal_record(harness.machine.snapshot()) == without_refusal_record(
                before
            )

    run(main)


@pytest.mark.parametrize(
    ("verb", "arguments"),
    [
        ("preset", b'{"preset": "\\ud800", "expect_version": 0}'),
        ("cancel", b'{"jobs": ["\\ud800"]}'),
        ("submit", b'{"name": "a", "team": "\\udfff", "kind": "batch", "cpu_milli": 1}'),
        (
            "submit",
            b'{"name": "a", "team": "b", "kind": "batch", "cpu_milli": 1, "run_s": 1%s}'
            % (b"0" * 400),
        ),
    ],
)
def test_values_that_protobuf_refuses_are_bad_requests(harness, verb, arguments):
    """Guards against valid JSON that cannot be put into a command."""

    async def main():
        assert (await harness.call(verb, arguments))[0] == Code.BAD_REQUEST

    run(main)


def test_deeply_nested_arguments_are_refused(harness):
    """Guards against a recursion error that ends the leader."""

    async def main():
        for depth in (*range(100, 1100, 4), 100_000):
            for verb in ("submit", "preset", "jobs"):
                nested = b'{"prefix":' + b"[" * depth + b"]" * depth + b"}"
                if verb != "jobs":
                    nested = nested.replace(
                        b"prefix", b"name" if verb == "submit" else verb.encode()
                    )
                code, _ = await harness.call(verb, nested)
                assert code == Code.BAD_REQUEST

    run(main)


class _DiscardingAuditFile:
    """Audit file that discards its records."""

    last = 0
    path = "no-such-file"

    def write(self, records):
        """Discard the records."""
