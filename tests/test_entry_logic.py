"""Parts of the entry without I/O: announcements, shares, health, retries, summaries, pauses."""

from collections import Counter
from random import Random
from time import monotonic
from types import SimpleNamespace

import pytest
from anyio import Event, run
from hypothesis import given
from hypothesis import strategies as st

from siskintally.announcement import (
    MAX_ENDPOINTS,
    AnnouncementTable,
    TableFullError,
    parse_age,
    parse_announcement,
)
from siskintally.balancer import BALANCER_BY_NAME, Candidate, LeastLoaded, PowerOfTwo, Rendezvous
from siskintally.call import Answer
from siskintally.codes import Code
from siskintally.entry import Entry
from siskintally.entry_summary import REPEAT_INTERVAL_S, SummaryTable, SummaryThrottle
from siskintally.errors import BadRequestError
from siskintally.fair_queue import QueuedRequest
from siskintally.forward import Forwarder
from siskintally.health import HealthTable
from siskintally.ledger_client import home_group
from siskintally.metrics import Metrics
from siskintally.pause_detector import PauseDetector
from siskintally.request_handler import STARTUP_WAIT_S, RequestHandler, _wait_for_slot
from siskintally.retry import RetryBudget
from siskintally.settings import parse
from siskintally.slot_share import entry_share
from siskintally.wire_pb2 import EntrySummary, ServiceLoad

FIELDS = {
    "name": "p1",
    "service": "s",
    "domain": "d",
    "url": "http://127.0.0.1:7301",
    "slots": 8,
    "connections": 64,
    "incarnation": 1,
    "seq": 1,
    "state": "serving",
}


def make_announcement(**fields):
    return parse_announcement(FIELDS | fields)


def live_names(table, now):
    return [endpoint.name for endpoint in table.live("s", now=now)]


def send_exchange(source, target, *, sent, received):
    """Carry one message from the entry ``a`` to the entry ``b``."""
    message = source.build_exchange(peer="b", domain="d", now=sent)
    return target.merge_exchange(message, peer="a", now=received)


def make_tables_with_echo():
    """Return the tables of two entries, ``a`` and ``b``; ``a`` has received a message of ``b``."""
    a, b = AnnouncementTable(domain="d"), AnnouncementTable(domain="d")
    a.merge_exchange(b.build_exchange(peer="a", domain="d", now=10.0), peer="b", now=10.0)
    return a, b


def test_passed_on_announcement_is_live_for_3_s_after_the_endpoint_sent_it():
    a, b = make_tables_with_echo()
    a.record(make_announcement(), age_s=0.0, now=10.0)
    # The echo may be as old as the exchange interval; an older echo only lowers the bound.
    a.merge_exchange(b.build_exchange(peer="a", domain="d", now=10.5), peer="b", now=10.5)
    send_exchange(a, b, sent=10.5, received=10.6)
    assert live_names(b, 12.8) == ["p1"]
    assert live_names(b, 13.1) == []


def test_message_delayed_on_its_way_refreshes_nothing():
    """Guards against a stale endpoint that is used because TCP delivers an old message late."""
    a, b = make_tables_with_echo()
    a.record(make_announcement(), age_s=0.0, now=10.0)
    send_exchange(a, b, sent=10.1, received=70.0)
    assert live_names(b, 70.0) == []


def test_message_without_an_echo_reports_only_leaving_endpoints():
    a, b = AnnouncementTable(domain="d"), AnnouncementTable(domain="d")
    a.record(make_announcement(), age_s=0.0, now=10.0)
    a.record(make_announcement(name="p2", state="leaving"), age_s=0.0, now=10.0)
    assert send_exchange(a, b, sent=10.1, received=10.1) == ["p2"]
    assert live_names(b, 10.1) == []


def test_entries_do_not_keep_an_announcement_alive_among_themselves():
    a, b = make_tables_with_echo()
    a.record(make_announcement(), age_s=0.0, now=10.0)
    now = 10.0
    while now < 20.0:
        now += 0.5
        send_exchange(a, b, sent=now, received=now)
        message = b.build_exchange(peer="a", domain="d", now=now)
        assert not message.announcements
        a.merge_exchange(message, peer="b", now=now)
    assert live_names(a, 13.2) == live_names(b, 13.2) == []


def test_announcement_is_passed_on_once_to_each_run_of_an_entry():
    """Guards against repeated announcements on the wire, and a restarted entry that gets none."""
    table = AnnouncementTable(domain="d")
    table.record(make_announcement(), age_s=0.0, now=10.0)
    counts = []
    for peer, seq in (("b", 1), ("b", 1), ("c", 1), ("b", 2), ("b", 2)):
        table.record(make_announcement(seq=seq), age_s=0.0, now=10.0)
        counts.append(len(table.build_exchange(peer=peer, domain="d", now=10.0).announcements))
    assert counts == [1, 0, 1, 1, 0]


def test_order_is_by_incarnation_then_seq_and_leaving_is_final():
    table = AnnouncementTable(domain="d")
    table.record(make_announcement(incarnation=2, seq=5), age_s=0.0, now=10.0)
    assert not table.record(
        make_announcement(incarnation=1, seq=9, state="leaving"), age_s=0.0, now=10.1
    )
    assert live_names(table, 10.1) == ["p1"]
    assert table.record(
        make_announcement(incarnation=2, seq=6, state="leaving"), age_s=0.0, now=10.2
    )
    table.record(make_announcement(incarnation=2, seq=7), age_s=0.0, now=10.3)
    assert live_names(table, 10.3) == []
    table.record(make_announcement(incarnation=3, seq=1), age_s=0.0, now=10.4)
    assert live_names(table, 10.4) == ["p1"]


def test_flood_of_names_is_refused_and_changes_nothing():
    table = AnnouncementTable(domain="d")
    for number in range(MAX_ENDPOINTS):
        table.record(make_announcement(name=f"p{number}"), age_s=0.0, now=10.0)
    with pytest.raises(TableFullError):
        table.record(make_announcement(name="more"), age_s=0.0, now=11.0)
    assert len(table) == MAX_ENDPOINTS
    table.record(make_announcement(name="p7", seq=2), age_s=0.0, now=11.0)
    table.record(make_announcement(name="more"), age_s=0.0, now=13.5)
    assert len(table) == 2


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("state", "gone"),
        ("slots", 0),
        ("slots", True),
        ("seq", -1),
        ("incarnation", 1 << 64),
        ("url", "ftp://127.0.0.1:1"),
        ("url", "http://127.0.0.1:99999"),
        ("url", "http://127.0.0.1:80/path"),
        ("name", "a\nb"),
        ("service", 5),
    ],
)
def test_malformed_announcement_names_the_field(key, value):
    with pytest.raises(BadRequestError, match=key):
        make_announcement(**{key: value})


def test_age_of_a_direct_announcement_is_bounded_by_the_echo():
    assert parse_age({}, now=50.0) is None
    assert parse_age({"echo": 10.0, "held_s": 1.0}, now=50.0) == pytest.approx(39.0, abs=0.1)
    for fields in (
        {"echo": 60.0},
        {"echo": "x"},
        {"echo": float("nan")},
        {"echo": 1, "held_s": -1},
    ):
        with pytest.raises(BadRequestError):
            parse_age(fields, now=50.0)


@given(st.integers(1, 64), st.integers(1, 9), st.text(max_size=8))
def test_shares_of_all_entries_add_up_to_the_total(total, count, endpoint):
    """Guards against entries that together send more than the endpoint has slots."""
    entries = tuple(f"e{number}" for number in range(count))
    shares = [
        entry_share(total, endpoint=endpoint, entry=entry, entries=entries) for entry in entries
    ]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


def test_balancers_prefer_free_and_healthy_endpoints():
    idle, busy = (
        Candidate(name="a", share=4, in_flight=0),
        Candidate(name="b", share=4, in_flight=3),
    )
    suspect = Candidate(name="c", share=4, in_flight=0, suspect=True)
    assert LeastLoaded().choose([busy, suspect, idle], key="") is idle
    choose = PowerOfTwo(random=Random(1)).choose
    counts = Counter(choose([busy, suspect, idle], key="").name for _ in range(300))
    assert counts["a"] > 180
    assert counts["c"] == 0
    policy = Rendezvous()
    homes = {key: policy.choose([idle, busy], key=key).name for key in "abcdefgh"}
    assert set(homes.values()) == {"a", "b"}
    assert all(policy.choose([busy, idle, suspect], key=key).name != "c" for key in homes)
    assert set(BALANCER_BY_NAME) == {"power-of-two", "least-loaded", "rendezvous"}


def test_retries_are_at_most_a_tenth_of_first_sends():
    budget = RetryBudget(ratio=0.1)
    granted = 0
    for sent in range(1, 1001):
        budget.record_first_attempt()
        granted += budget.try_take()
        assert granted <= sent * 0.1 + 1e-9
    assert granted == 100


def record_failures(table, name, names, now, count=5):
    for _ in range(count):
        table.record_result(name, ok=False, names=names, now=now)


def test_at_most_30_percent_are_ejected():
    """Guards against ejecting every endpoint because of a fault of the entry's own network."""
    names = [f"p{number}" for number in range(10)]
    table = HealthTable()
    for name in names:
        record_failures(table, name, names, 10.0)
    assert len(table.usable(names, now=10.1)) == 7
    record_failures(table, "p0", names[:3], 10.0)
    small = HealthTable()
    record_failures(small, "p0", names[:3], 10.0)
    assert small.usable(names[:3], now=10.1) == names[:3]
    assert small.is_suspect("p0")


def test_back_off_doubles_and_one_probe_readmits():
    names, now = ["a", "b", "c", "d"], 10.0
    table = HealthTable()
    record_failures(table, "a", names, now)
    for backoff_s in (1, 2, 4, 8, 16, 32, 60, 60):
        assert "a" not in table.usable(names, now=now + backoff_s - 0.01)
        now += backoff_s
        assert "a" in table.usable(names, now=now)
        table.record_send("a")
        assert "a" not in table.usable(names, now=now + 5)
        table.record_result("a", ok=False, names=names, now=now)
    table.record_send("a")
    table.record_result("a", ok=True, names=names, now=now + 60)
    assert "a" in table.usable(names, now=now + 60)


def test_failure_rate_ejects_without_consecutive_failures():
    names = ["a", "b", "c", "d"]
    table = HealthTable()
    for number in range(40):
        table.record_result("a", ok=number % 3 == 0, names=names, now=10.0 + number / 100)
    assert table.ejected(names) == ["a"]


def test_unreachable_endpoint_is_not_used_however_few_there_are():
    """Guards against an unreachable endpoint that attracts requests because its slots stay free."""
    names, now = ["a", "b"], 10.0
    table = HealthTable()
    for backoff_s in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
        table.record_send("a")
        table.record_unreachable("a", now=now)
        table.record_unreachable("a", now=now)
        assert table.usable(names, now=now + backoff_s * 0.9) == ["b"]
        now += backoff_s * 1.01
        assert table.usable(names, now=now) == names
    table.record_send("a")
    assert table.usable(names, now=now) == ["b"]
    table.record_result("a", ok=True, names=names, now=now)
    assert table.usable(names, now=now) == names


def test_probe_that_is_cut_off_is_followed_by_another():
    """Guards against an endpoint that stays ejected when the caller of its probe disconnected."""
    names = ["a", "b", "c", "d"]
    table = HealthTable()
    record_failures(table, "a", names, 10.0)
    table.record_send("a")
    assert "a" not in table.usable(names, now=12.0)
    table.record_no_result("a")
    assert "a" in table.usable(names, now=12.0)


class ScriptedRequestHandler(RequestHandler):
    """A handler whose dispatches return the next of a list of codes."""

    __slots__ = ("codes",)

    async def _dispatch(self, call, avoid, forwarded, is_last_attempt):
        return Answer.without_response(self.codes.pop(0), ""), "p1"


def test_retries_and_unsent_dispatches_do_not_fill_the_retry_budget():
    """Guards against retries that add to the retry budget and so exceed a tenth of first sends."""
    budget = RetryBudget(ratio=0.1)
    metrics = Metrics(address=None, prefix="")
    handler = ScriptedRequestHandler(
        dispatcher_of=None,
        budget=budget,
        ledger=None,
        peers=None,
        metrics=metrics,
        started=-STARTUP_WAIT_S,
    )
    unsent, unknown, failed = Code.NO_ENDPOINT, Code.OUTCOME_UNKNOWN, Code.ENDPOINT_FAILED
    call = SimpleNamespace(non_idempotent=False, deadline=float("inf"), request_id="r")
    for _ in range(40):
        handler.codes = [unsent, unsent, failed]
        run(handler.handle, call)
    retries = 0
    for _ in range(60):
        handler.codes = [unknown, failed]
        run(handler.handle, call)
        retries += not handler.codes
    assert retries == 10


def test_request_waits_for_the_first_announcement_after_the_start_only():
    """Guards against "no endpoint" from an entry that has just started."""
    counts = [0, 0, 1]
    dispatcher = SimpleNamespace(endpoint_count=lambda now: counts.pop(0))
    peers = SimpleNamespace(choose=lambda service: None)
    arguments = {
        "dispatcher_of": lambda service: dispatcher,
        "budget": None,
        "ledger": None,
        "metrics": None,
    }
    call = SimpleNamespace(deadline=monotonic() + 1e6, service="s")
    for started, remaining in ((float("inf"), 0), (monotonic() - STARTUP_WAIT_S, 0)):
        handler = RequestHandler(**arguments, peers=peers, started=started)
        run(handler._wait_for_endpoint, call)
        assert len(counts) == remaining


class DispatcherMissingDeadlines:
    """A dispatcher for which no waiting request can meet its deadline."""

    def can_meet_deadline(self, request, *, now):
        """Return False."""
        return False


def test_waiting_request_that_cannot_meet_its_deadline_is_refused_at_its_next_check():
    """Guards against a request that waits until a deadline that can't be met any more."""

    async def main():
        now = monotonic()
        request = QueuedRequest(rank=1, caller="c", deadline=now + 80.1, queued_at=now - 19.9)
        return await _wait_for_slot(DispatcherMissingDeadlines(), request, Event())

    assert run(main) is False


def make_summary(free, endpoints=1, **fields):
    load = ServiceLoad(service="s", endpoints=endpoints, free_slots=free)
    return EntrySummary(services=[load], **fields)


def test_summary_is_sent_only_when_the_load_changed_enough():
    """Guards against cross-region traffic for every small change of load."""
    throttle = SummaryThrottle()
    due = [throttle.is_due(make_summary(free), now=float(free)) for free in (8, 7, 5, 4, 3, 0, 0)]
    assert due == [True, False, False, False, True, True, False]
    assert throttle.is_due(make_summary(0, draining=True), now=8.0)
    assert throttle.is_due(make_summary(0, draining=True), now=8.0 + REPEAT_INTERVAL_S)


def test_own_region_comes_before_others_and_draining_entries_are_left_out():
    table = SummaryTable(region="r1")
    for peer, free in (("near", 0), ("far", 8), ("drains", 8), ("closed", 8)):
        table.record(peer, make_summary(free, draining=peer == "drains"))
    peers = {"near": "r1", "far": "r2", "drains": "r1"}
    assert table.choose("s", open_peers=peers) == "near"
    assert table.choose("s", open_peers=peers, need_free=True) == "far"
    assert table.choose("s", open_peers=peers, avoid="near") == "far"
    assert table.choose("other", open_peers=peers) is None


def test_pause_is_noticed_before_the_next_tick():
    detector = PauseDetector()
    for number in range(5):
        detector.tick(10.0 + number / 4)
    assert not detector.is_after_pause(11.5)
    assert detector.is_after_pause(71.0)
    detector.tick(71.1)
    assert detector.is_after_pause(71.9)
    detector.tick(71.9)
    assert not detector.is_after_pause(72.2)


def test_announcement_read_after_a_pause_needs_an_echo():
    """Guards against use of announcements that waited in socket buffers while the entry paused."""
    text = (
        '[cell]\nname = "c"\nsecret = "0123456789abcdef"\n[[process]]\nname = "e1"\n'
        'role = "entry"\ndomain = "d"\nregion = "r"\nlink = "127.0.0.1:1"\nhttp = "127.0.0.1:2"'
    )
    settings = parse(text)
    process = settings.process("e1")
    entry = Entry(settings=settings, process=process, standalone=True, drain_s=0.0)
    entry._pause_detector.tick(10.0)
    entry.record_announcement(make_announcement(), age_s=None, now=70.0)
    assert live_names(entry._table, 70.0) == []
    entry.record_announcement(make_announcement(seq=2), age_s=0.5, now=70.1)
    assert live_names(entry._table, 70.1) == ["p1"]
    entry.record_announcement(make_announcement(name="p2"), age_s=None, now=70.1)
    for now in (70.5, 71.0, 71.5, 72.0):
        entry._pause_detector.tick(now)
    assert live_names(entry._table, 72.0) == ["p1"]
    entry.record_announcement(make_announcement(name="p2", seq=2), age_s=None, now=72.6)
    assert live_names(entry._table, 72.6) == ["p1", "p2"]


def test_home_of_a_key_is_its_prefix_or_spread_over_the_groups():
    groups = ("a", "b", "c")
    assert home_group("b/17", groups) == "b"
    assert home_group("z/17", groups) in groups
    counts = Counter(home_group(f"k{number}", groups) for number in range(300))
    assert min(counts.values()) > 60


def test_forwarder_of_a_new_endpoint_reads_no_certificates(monkeypatch):
    """Guards against an entry that does not answer for seconds during a burst of announcements.

    Loading the certificate authorities is slow, and each new endpoint gets its own forwarder.
    """

    def refuse(*_, **__):
        raise AssertionError("certificate authorities must not be loaded")

    monkeypatch.setattr("ssl.SSLContext.load_verify_locations", refuse)
    monkeypatch.setattr("ssl.SSLContext.load_default_certs", refuse)
    Forwarder(url="http://127.0.0.1:9", connections=64)
