"""Operator client and commands: retries, exit statuses, output."""

import sys
from json import loads

import pytest
from httpx import ConnectError, MockTransport, ReadTimeout, Response

from siskintally import operation
from siskintally.client import OperatorClient
from siskintally.codes import Code
from siskintally.errors import OutcomeUnknownError, UnreachableError
from siskintally.main import dispatch

TOKEN = "0123456789abcdef"


class FakeEntry:
    """Fake entry that returns or raises its answers in order; the last one is repeated."""

    __slots__ = ("answers", "requests")

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []

    def __call__(self, request):
        """Record a request and return the next answer."""
        self.requests.append(request)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    def request_ids(self):
        """Return the set of request ids that were received."""
        return {request.headers["siskintally-request-id"] for request in self.requests}


def reply(code, answer=None, **fields):
    return Response(200 if code < 2000 else 409, json={"code": code, "answer": answer, **fields})


def client(entry, timeout_s=5.0):
    return OperatorClient(
        entries=["http://e1", "http://e2"],
        token=TOKEN,
        timeout_s=timeout_s,
        transport=MockTransport(entry),
    )


def test_lost_answer_is_retried_with_the_same_request_id():
    """Guards against a change that is applied twice because a retry has a new request id."""
    entry = FakeEntry(ReadTimeout("lost"), reply(2006), reply(1000, {"version": 4}))
    outcome = client(entry).call("preset", {}, request_id="r1")
    assert outcome.answer == {"version": 4}
    assert entry.request_ids() == {"r1"}
    assert {request.url.host for request in entry.requests} == {"e1", "e2"}
    assert entry.requests[0].headers["authorization"] == f"Bearer {TOKEN}"


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (ConnectError("refused"), UnreachableError),
        (reply(2006), UnreachableError),
        (ReadTimeout("lost"), OutcomeUnknownError),
        (reply(3001), OutcomeUnknownError),
        (Response(502, text="<html>"), OutcomeUnknownError),
    ],
)
def test_not_run_and_unknown_outcome_are_distinguished(answer, error):
    """Guards against a change that is reported as not run but may have been applied."""
    with pytest.raises(error):
        client(FakeEntry(answer), timeout_s=0.2).call("cancel", {}, request_id="r1")


def test_unknown_stays_unknown_when_later_tries_are_refused():
    """Guards against a refused retry that hides the unknown outcome of the first attempt."""
    entry = FakeEntry(ReadTimeout("lost"), ConnectError("refused"))
    with pytest.raises(OutcomeUnknownError):
        client(entry, timeout_s=0.8).call("cancel", {}, request_id="r1")


def run_command(monkeypatch, entry, *words):
    """Run a command whose client is connected to a fake entry; return its exit status."""

    def make(**fields):
        return OperatorClient(**fields, transport=MockTransport(entry))

    monkeypatch.setattr(operation, "OperatorClient", make)
    # The module has imported stderr by name, which capsys does not replace.
    monkeypatch.setattr(operation, "stderr", sys.stderr)
    monkeypatch.setenv("SISKINTALLY_TOKEN", TOKEN)
    with pytest.raises(SystemExit) as caught:
        raise SystemExit(dispatch(["siskintally", *words]))
    return caught.value.code


@pytest.mark.parametrize(
    ("code", "status"),
    [(1000, 0), (4000, 2), (4007, 2), (2001, 3), (2007, 3), (3002, 4), (4006, 5), (4009, 5)],
)
def test_exit_status_shows_the_outcome(monkeypatch, capsys, code, status):
    """Guards against an exit status that shows a refusal as success or as worth a retry."""
    entry = FakeEntry(
        reply(code, {"kind": "worker", "name": "w1", "draining": True, "message": "m"})
    )
    assert run_command(monkeypatch, entry, "drain", "worker", "w1", "--json") == status
    assert len(entry.requests) == 1
    assert loads(capsys.readouterr().out)["code"] == code


def test_submit_merges_file_and_flags(monkeypatch, tmp_path, capsys):
    """Guards against a job file that overrides flags."""
    path = tmp_path / "job.toml"
    path.write_text('name = "seats"\nteam = "ski"\nkind = "batch"\ntasks = 3\n')
    entry = FakeEntry(reply(1000, {"job": "seats-9", "reason": "quota", "split": {}}))
    words = ("submit", str(path), "--tasks", "5", "--class=urgent", "--request-id", "r7")
    assert run_command(monkeypatch, entry, *words) == 0
    sent = loads(entry.requests[0].content)
    assert sent == {"name": "seats", "team": "ski", "kind": "batch", "tasks": 5, "class": "urgent"}
    assert entry.request_ids() == {"r7"}
    assert "seats-9  waits: quota" in capsys.readouterr().out


def test_preset_reads_the_version_it_is_based_on(monkeypatch):
    """Guards against a preset change that overwrites a concurrent one without a conflict."""
    entry = FakeEntry(reply(1000, {"version": 8}), reply(1000, {"version": 9, "preset": "peak"}))
    assert run_command(monkeypatch, entry, "preset", "peak") == 0
    assert loads(entry.requests[1].content) == {"preset": "peak", "expect_version": 8}


def test_cancel_waits_until_the_jobs_have_ended(monkeypatch, capsys):
    """Guards against ``--wait`` that returns while tasks still run."""
    counts = dict.fromkeys(("waiting", "succeeded", "failed", "cancelled"), 0)
    row = {"job": "a-1", "kind": "batch", "tasks": 2, "reason": "", "running": 2, **counts}
    entry = FakeEntry(
        reply(1000, {"cancelled": 1, "ended": 0, "not_found": []}),
        reply(1000, {"jobs": [row | {"state": "cancelling"}], "more": False}),
        reply(1000, {"jobs": [row | {"state": "cancelled"}], "more": False}),
    )
    assert run_command(monkeypatch, entry, "cancel", "--all-of-job-prefix=a", "--wait") == 0
    assert "running 2" in capsys.readouterr().err
    assert len(entry.requests) == 3


def test_usage_errors_exit_with_2(monkeypatch, capsys):
    """Guards against a mistyped command that is sent, or that exits as if it had succeeded."""
    entry = FakeEntry(reply(1000, {}))
    for words in (
        ("config", "set", "no-such-file", "--expect-version=1"),
        ("config", "set", "f"),
        ("drain", "worker"),
        ("domain", "lost", "fjeld"),
        ("domain", "restore", "fjeld", "--confirm"),
        ("status", "extra"),
        ("submit", "--tasks=many"),
        ("cancle",),
    ):
        assert run_command(monkeypatch, entry, *words) == 2
    assert not entry.requests


def test_audit_with_a_broken_chain_fails(monkeypatch, capsys):
    """Guards against an audit command that does not verify the hash chain in the answer."""
    fields = {"number": 1, "index": 2, "time": 1.0, "operator": "ana", "request_id": "r", "code": 0}
    texts = dict.fromkeys(("verb", "what", "from_value", "to_value", "previous"), "")
    row = fields | texts | {"hash": "f" * 64}
    entry = FakeEntry(reply(1000, {"records": 1, "head": "f" * 64, "rows": [row]}))
    assert run_command(monkeypatch, entry, "audit") == 5
    assert str(int(Code.DAMAGED_DATA)) in capsys.readouterr().err
