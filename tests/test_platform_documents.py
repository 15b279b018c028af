"""Conversion of the platform's request bodies to types of the product; bad ones are refused."""

from functools import partial
from json import dumps

from hypothesis import given
from hypothesis import strategies as st
from pytest import mark, raises

from siskintally.control_pb2 import PoolWorker, TaskEnd
from siskintally.driver import EndKind
from siskintally.errors import BadRequestError, OutcomeUnknownError
from siskintally.http_pool import parse_address
from siskintally.platform.documents import read_document, read_flow, read_worker
from siskintally.platform.workers import read_report
from siskintally.queue_checks import check_document

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)
ROUTE = {
    "name": "r",
    "host": "H.example",
    "pathPrefix": "/a/",
    "service": "s",
    "timeoutMs": 3000,
    "maxAttempts": 3,
    "priority": 1,
    "targetRuntimeMs": 400,
    "stretch": 1.5,
    "advice": {"decideMs": 33.6, "periodMs": 0.3, "validMs": 2500},
}
DOCUMENT = {"version": 7, "routes": [ROUTE], "services": [{"name": "s"}], "limits": {}}
WORKER = {
    "service": "s",
    "addr": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "seq": 4,
    "born": 1783394105546,
}
STEP = {
    "count": 20,
    "cpu": 2000,
    "memMb": 1024,
    "gpu": 1,
    "estimateMs": 7000.4,
    "after": [0],
    "checkpointable": True,
    "gang": True,
    "sameRack": True,
    "requiredLabel": "b",
    "dataRack": "r1-3",
    "maxPerServer": 2,
    "speculative": True,
    "longRunning": True,
    "image": "i",
    "targetMs": 50,
    "fills": True,
    "maxUnavailable": 1,
}


def flow_body(**step):
    return dumps({"spec": "x", "steps": [{"count": 1}, {**STEP, **step}]}).encode()


def test_every_field_of_a_step_arrives():
    """Guards against a field of a job that is dropped in the conversion."""
    step = read_flow("5c0e", flow_body()).steps[1]
    assert (step.tasks, step.cpu_milli, step.memory_mb, step.accelerators) == (20, 2000, 1024, 1)
    assert (step.estimate_ms, list(step.after), step.label) == (7000, [0], "b")
    assert (step.data_rack, step.max_per_worker, step.image) == ("r1-3", 2, "i")
    assert (step.tail_target_ms, step.max_unavailable) == (50, 1)
    flags = (step.checkpointable, step.gang, step.one_rack, step.speculative, step.lasting)
    assert all(flags) and step.filling


@mark.parametrize(
    "bad_fields",
    [
        {"count": -1},
        {"count": "2"},
        {"cpu": 1.5},
        {"gang": 1},
        {"after": ["0"]},
        {"after": 0},
        {"estimateMs": 1e14},
        {"image": "\ud800"},
    ],
)
def test_a_step_with_a_bad_field_is_refused(bad_fields):
    """Guards against a job that is stored and can never run as its sender meant."""
    with raises(BadRequestError):
        read_flow("5c0e", flow_body(**bad_fields))


def test_a_configuration_arrives_whole_and_is_kept_as_it_was_sent():
    """Guards against a configuration that is read back differently from how it was sent."""
    body = dumps(DOCUMENT).encode()
    document = read_document(body)
    check_document(document)
    queue = document.queues[0]
    assert document.original == body
    assert (queue.host, queue.prefix, queue.max_attempts) == ("h.example", "/a/", 3)
    assert (queue.aim_ms, queue.stretch, queue.advice.decide_ms) == (400, 1.5, 33.6)


@mark.parametrize(
    "bad_fields",
    [
        {"routes": [{**ROUTE, "service": "unknown"}]},
        {"routes": [{**ROUTE, "timeoutMs": 0}]},
        {"routes": [ROUTE, {**ROUTE, "name": "other"}]},
        {"routes": None},
        {"version": 0},
        {"version": "7"},
        {"services": "s"},
    ],
)
def test_an_invalid_configuration_is_refused_as_a_whole(bad_fields):
    """Guards against an acknowledged configuration that cannot be applied."""
    with raises(BadRequestError):
        check_document(read_document(dumps({**DOCUMENT, **bad_fields}).encode()))


@mark.parametrize("length", [0, 1, 20, 60])
def test_a_configuration_that_was_cut_short_is_refused(length):
    """Guards against a truncated configuration that is applied."""
    with raises(BadRequestError):
        read_document(dumps(DOCUMENT).encode()[:length])


def test_a_worker_is_read_with_its_capacity_and_rack():
    """Guards against tasks that are sent to a worker without the capacity for them."""
    worker = read_worker("i-1", dumps(WORKER).encode())
    assert (worker.cpu_milli, worker.memory_mb, worker.accelerators) == (16000, 32768, 1)
    assert (worker.rack, worker.born_ms, worker.leaving) == ("r1-3", 1783394105546, False)


@mark.parametrize(
    "bad_fields",
    [
        {"state": "asleep"},
        {"state": 5},
        {"addr": "nowhere"},
        {"addr": None},
        {"capacity": 7},
        {"labels": [1]},
        {"service": None},
        {"seq": "many"},
        {"addr": "10.0.0.9:99999"},
        {"addr": "10.0.0.9:0"},
        {"addr": "10.0.0.9:\u0663"},
        {"addr": "10.0.0.9:" + "9" * 5000},
        {"addr": "host.example:80"},
        {"addr": "10.0\0.9:80"},
        {"addr": "fe80::1%\0:80"},
        {"addr": ":80"},
        {"capacity": False},
        {"capacity": []},
        {"labels": ["\ud800"]},
        {"born": -1},
        {"born": 1.5},
        {"clockMs": 2**64},
        {"drainRemainingMs": float("inf")},
    ],
)
def test_an_announcement_that_names_no_worker_is_refused(bad_fields):
    """Guards against malformed announcements that are stored as workers."""
    with raises(BadRequestError):
        read_worker("i-1", dumps({**WORKER, **bad_fields}).encode())


@mark.parametrize("worker_id", ["", "a\r\nb", "a b", "\xe9", "a" * 300])
def test_an_id_that_cannot_stand_in_a_header_names_no_worker(worker_id):
    """Guards against a stored worker to which no request can be written."""
    with raises(BadRequestError):
        read_worker(worker_id, dumps(WORKER).encode())


@mark.parametrize("read", [partial(read_flow, "5c0e"), read_document, partial(read_worker, "i")])
@mark.parametrize("value", [b"9" * 5000, b"[" * 100_000, b"1e400", b'{"a":' * 100_000])
def test_a_number_or_a_nesting_beyond_the_limits_of_the_parser_is_refused(read, value):
    """Guards against bodies for which the JSON parser raises another error than for bad syntax."""
    for body in (value, b'{"spec":%s,"state":%s,"version":%s}' % (value, value, value)):
        with raises(BadRequestError):
            read(body)


@given(st.sampled_from([*WORKER, "drainRemainingMs"]), JSON)
def test_an_announcement_with_any_value_in_a_field_is_usable_or_refused(name, value):
    """Guards against a stored record that the leader cannot use."""
    try:
        worker = read_worker("i-1", dumps({**WORKER, name: value}).encode())
    except BadRequestError:
        return
    parse_address(worker.address)
    assert PoolWorker.FromString(worker.SerializeToString()) == worker
    assert max(worker.born_ms, worker.seq, worker.clock_ms) <= 2**53


def test_a_report_lists_runs_and_ends():
    """Guards against ends that are read with the wrong task, run or kind."""
    body = {
        "clockMs": 9,
        "running": [["f.0.0.1", 2, "save", 41, 900]],
        "ended": [[58, "f.0.0.0", 1, "broken", ""]],
    }
    report = read_report(dumps(body).encode())
    (row,), (end,) = report.running, report.ended
    assert (row.task_id, row.run, row.checkpoint, row.percent, row.load) == (
        "f.0.0.1",
        2,
        "save",
        41,
        900,
    )
    assert (end.number, end.task_id, end.run, end.kind) == (58, "f.0.0.0", 1, EndKind.BROKEN)


RUN_ROW = ["f.0.0.1", 2, "save", 41, 900]
END_ROW = [58, "f.0.0.0", 1, "broken", ""]


@mark.parametrize(
    "row",
    [
        *(
            {"running": [[*RUN_ROW[:at], bad, *RUN_ROW[at + 1 :]]]}
            for at in range(len(RUN_ROW))
            for bad in (["x"], {"x": 1}, -1, True, 2**64, float("inf"), "\ud800")
            if (at, bad) != (2, True)
        ),
        *(
            {"ended": [[*END_ROW[:at], bad, *END_ROW[at + 1 :]]]}
            for at in range(len(END_ROW))
            for bad in (["x"], {"x": 1}, -1, True, 2**64, float("inf"), "\ud800")
        ),
    ],
)
def test_a_report_with_a_value_of_another_type_is_no_report(row):
    """Guards against a report that ends the term of the leader when it is applied."""
    with raises(OutcomeUnknownError):
        read_report(dumps({"clockMs": 9, **row}).encode())


@given(st.sampled_from(["running", "ended"]), st.integers(0, 4), JSON)
def test_a_report_with_any_value_in_a_row_is_usable_or_refused(name, at, value):
    """Guards against a report whose values the leader cannot compare, store or send."""
    row = list(RUN_ROW if name == "running" else END_ROW)
    row[at] = value
    try:
        report = read_report(dumps({"clockMs": 9, name: [row]}).encode())
    except OutcomeUnknownError:
        return
    for found in (*report.running, *report.ended):
        assert TaskEnd(task=found.task_id, run=found.run).ByteSize()
        assert found.checkpoint.encode() is not None
    assert all(0 <= run.percent + run.load < 1e10 for run in report.running)


@mark.parametrize("value", [b"9" * 5000, b"[" * 100_000, b"[]", b"\xff", b"1e400"])
def test_a_report_beyond_the_limits_of_the_parser_is_no_report(value):
    """Guards against reports for which the JSON parser raises another error than for bad syntax."""
    for body in (value, b'{"clockMs":%s}' % value, b'{"clockMs":9,"running":[%s]}' % value):
        with raises(OutcomeUnknownError):
            read_report(body)


@given(JSON)
def test_no_body_of_another_shape_ends_a_process(value):
    """Guards against JSON input that raises anything but an error with a code."""
    body = dumps(value).encode()
    for read in (
        lambda: read_flow("5c0e", body),
        lambda: read_document(body),
        lambda: read_worker("i-1", body),
        lambda: read_report(body),
    ):
        try:
            read()
        except (BadRequestError, OutcomeUnknownError):
            continue


@given(st.binary(max_size=40))
def test_no_unreadable_bytes_end_a_process(body):
    """Guards against bytes that are not text or not JSON and raise an error without a code."""
    for read in (
        lambda: read_flow("5c0e", body),
        lambda: read_document(body),
        lambda: read_worker("i-1", body),
        lambda: read_report(body),
    ):
        try:
            read()
        except (BadRequestError, OutcomeUnknownError):
            continue
