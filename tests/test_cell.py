"""Cell state machine: versions, resends, quotas, splits, cancellation, snapshots."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.cell import MIN_KEPT_REPLIES, Cell
from siskintally.cell_state_pb2 import CancelJobs, Command, SetConfig, SetDrain, SetPreset
from siskintally.codes import Code
from siskintally.job_counts import job_state
from siskintally.wire_pb2 import OperatorReply
from tests.cell_commands import DOCUMENT, NAMES, Driver, group


@pytest.fixture
def driver():
    driver = Driver(Cell())
    assert driver.configure() == (1000, {"preset": "ordinary", "version": 1})
    return driver


def test_first_commit_of_equal_versions_wins(driver):
    """Guards against two accepted changes by operators who expect the same version."""
    first = driver.change(SetPreset(preset="peak", expect_version=1), operator="ana")
    second = driver.change(SetConfig(document=DOCUMENT, expect_version=1), operator="ole")
    assert first[0] == Code.DONE
    assert second[0] == Code.VERSION_CONFLICT
    assert second[1]["version"] == 2
    assert driver.cell.config_state.preset == "peak"


def test_refused_document_changes_nothing(driver):
    """Guards against a bad document that is stored or takes a version number."""
    bad = SetConfig(document="[presets.peak]\nlease_s = 1", expect_version=1)
    assert driver.change(bad)[0] == Code.BAD_SETTINGS
    assert driver.cell.config_state.version == 1
    assert driver.cell.config_state.document == DOCUMENT


def test_resend_gets_the_first_reply_byte_for_byte(driver):
    """Guards against a change that runs twice when its answer was lost."""
    change = SetPreset(preset="peak", expect_version=1)
    driver.change(change, request_id="same")
    first = driver.cell.snapshot()
    assert driver.change(change, request_id="same") == (1000, {"preset": "peak", "version": 2})
    assert driver.cell.snapshot() == first


def test_resend_after_restore_gets_the_first_reply():
    """Guards against a snapshot that drops the stored replies."""
    driver = Driver(Cell())
    driver.configure()
    data = driver.log[0][1]
    restored = Cell()
    restored.restore(driver.cell.snapshot())
    assert restored.apply(index=9, command=data) == driver.cell.apply(index=9, command=data)
    assert restored.config_state.version == 1


def test_reused_request_id_with_other_content_is_refused(driver):
    """Guards against the reply of one change being given for another."""
    driver.change(SetPreset(preset="peak", expect_version=1), request_id="same")
    code, _ = driver.change(SetPreset(preset="ordinary", expect_version=2), request_id="same")
    assert code == Code.KEY_CONFLICT
    assert driver.cell.config_state.preset == "peak"


def test_replies_are_kept_by_count_and_by_age(driver):
    """Guards against a resend that runs again because later requests evicted its reply."""
    drain = SetDrain(kind="worker", name="w1", draining=True)
    driver.change(drain, request_id="first")
    for _ in range(MIN_KEPT_REPLIES):
        driver.change(drain)
    assert "first" in driver.cell._reply_by_id
    driver.at += 24 * 3600 + 1
    driver.change(drain)
    assert "first" not in driver.cell._reply_by_id
    assert len(driver.cell._reply_by_id) == MIN_KEPT_REPLIES


def test_job_above_the_whole_quota_is_refused_for_good(driver):
    """Guards against a job that would wait forever."""
    assert driver.submit(tasks=101)[0] == Code.QUOTA_EXCEEDED
    assert driver.submit(team="unknown")[0] == Code.QUOTA_EXCEEDED
    assert not driver.cell.jobs.job_by_id


def test_job_waits_for_quota_and_is_admitted_when_it_frees(driver):
    """Guards against a team above its quota, and against a waiting job that is forgotten."""
    _, first = driver.submit(tasks=80)
    _, second = driver.submit(tasks=50)
    _, third = driver.submit(tasks=10)
    assert (second["reason"], second["split"]) == ("quota", {})
    assert third["reason"] == "quota", "a small job must not overtake the large one"
    for name, tasks in first["split"].items():
        driver.report(name, first["job"], succeeded=tasks)
    jobs = driver.cell.jobs
    assert jobs.job_by_id[first["job"]].ended
    assert sum(share.tasks for share in jobs.job_by_id[second["job"]].shares) == 50
    assert jobs.job_by_id[third["job"]].admitted
    assert jobs.quota_use.used("ski").cpu_milli == 60_000


def test_urgent_job_is_admitted_before_a_waiting_deferrable_one(driver):
    """Guards against urgent work behind deferrable work of the same team."""
    _, first = driver.submit(tasks=100)
    _, late = driver.submit(tasks=60, **{"class": "deferrable"})
    _, urgent = driver.submit(tasks=60, **{"class": "urgent"})
    driver.change(CancelJobs(job_ids=[first["job"]]))
    for name, tasks in first["split"].items():
        driver.report(name, first["job"], cancelled=tasks)
    jobs = driver.cell.jobs.job_by_id
    assert jobs[urgent["job"]].admitted
    assert not jobs[late["job"]].admitted


def test_split_by_kind(driver):
    """Guards against a gang split over domains, a service in one domain, a batch in a full one."""
    driver.groups = [group(NAMES[0], free=4), group(NAMES[1], free=32), group(NAMES[2], free=32)]
    assert driver.submit(kind="gang", tasks=40)[1]["split"] == {"jylland-a": 40}
    assert driver.submit(kind="service", tasks=8)[1]["split"] == {"fjeld-a": 4, "sjaelland-a": 4}
    assert driver.submit(tasks=20)[1]["split"] == {"sjaelland-a": 20}
    assert driver.submit(tasks=2, domain="fjeld-a")[1]["split"] == {"fjeld-a": 2}
    assert driver.submit(domain="atlantis")[0] == Code.NOT_FOUND


def test_never_fits_only_when_all_groups_have_reported(driver):
    """Guards against a job refused because large workers have not registered yet."""
    driver.groups = [group(name, largest=8) for name in NAMES]
    driver.groups[0] = group(NAMES[0], workers=0)
    fresh = Driver(Cell())
    fresh.groups = driver.groups
    fresh.configure()
    assert fresh.submit(cpu_milli=9000)[1]["split"] == {"fjeld-a": 1}
    fresh.groups = [group(name, largest=8) for name in NAMES]
    code, answer = fresh.submit(cpu_milli=9000)
    assert code == Code.NEVER_FITS
    assert "cpu_milli" in answer["message"]


def test_smaller_largest_worker_is_adopted_only_after_a_delay(driver):
    """Guards against false NEVER_FITS while workers register again after an election."""
    driver.groups = [group(name, largest=8) for name in NAMES]
    assert driver.submit(cpu_milli=9000)[0] == Code.DONE
    driver.at += 601
    assert driver.submit(cpu_milli=9000)[0] == Code.NEVER_FITS


def test_share_that_a_group_refuses_moves_until_none_is_left(driver):
    """Guards against a job lost in a group that can never run it."""
    _, answer = driver.submit(kind="gang", tasks=4)
    job = driver.cell.jobs.job_by_id[answer["job"]]
    tried_groups = set()
    for _ in NAMES:
        assert not job.ended
        (share,) = [share for share in job.shares if share.tasks]
        tried_groups.add(share.group)
        driver.report(share.group, job.job_id, waiting=4, code=4005, reason="accelerators")
        (item,) = driver.cell.jobs.items_since(share.group, 0)
        assert item.cancelled
    assert tried_groups == set(NAMES)
    assert (job.ended, job_state(job), job.reason) == (True, "never", "accelerators")


def test_cancel_of_many_jobs_in_one_command(driver):
    """Guards against a burst of cancellations that reaches only some of the jobs."""
    ids = [driver.submit(name=f"seat-{number}")[1]["job"] for number in range(50)]
    before = driver.index
    code, answer = driver.change(CancelJobs(job_ids=[ids[0], "no-such"], prefix="seat-"))
    assert (code, answer) == (1000, {"cancelled": 50, "ended": 0, "not_found": ["no-such"]})
    items = [item for name in NAMES for item in driver.cell.changes_since(name, before).jobs]
    assert sorted(item.job_id for item in items) == sorted(ids)
    assert all(item.cancelled for item in items)
    assert driver.change(CancelJobs(job_ids=["no-such"]))[0] == Code.NOT_FOUND


def test_job_cancelled_before_its_domain_knew_it_ends(driver):
    """Guards against a cancelled job that uses quota forever."""
    _, answer = driver.submit(tasks=5, domain="fjeld-a")
    driver.change(CancelJobs(job_ids=[answer["job"]]))
    job = driver.cell.jobs.job_by_id[answer["job"]]
    driver.report("fjeld-a", job.job_id, waiting=4, running=1)
    assert job_state(job) == "cancelling"
    driver.report("fjeld-a", job.job_id)
    assert (job.ended, job_state(job)) == (True, "cancelled")
    assert driver.cell.jobs.quota_use.used("ski").cpu_milli == 0


def test_changes_since_an_index_are_complete(driver):
    """Guards against a domain that misses a configuration, a job, or a drain."""
    start = driver.index
    _, answer = driver.submit(kind="service", tasks=3)
    driver.change(SetDrain(kind="worker", name="w7", draining=True))
    reply = driver.cell.changes_since("fjeld-a", start)
    assert [item.job_id for item in reply.jobs] == [answer["job"]]
    assert [item.name for item in reply.drains] == ["w7"]
    assert not reply.HasField("config")
    assert driver.cell.changes_since("fjeld-a", 0).config.version == 1
    assert driver.cell.changes_since("fjeld-a", reply.index).index == reply.index
    assert not driver.cell.changes_since("fjeld-a", reply.index).jobs


def test_late_report_of_a_former_leader_is_ignored(driver):
    """Guards against progress that decreases, so that a job never ends."""
    _, answer = driver.submit(tasks=3, domain="fjeld-a")
    driver.report("fjeld-a", answer["job"], succeeded=2, running=1)
    driver.report("fjeld-a", answer["job"], waiting=3)
    job = driver.cell.jobs.job_by_id[answer["job"]]
    assert job.shares[0].progress.succeeded == 2


def test_ended_jobs_are_dropped_after_a_day(driver):
    """Guards against state that grows without bound."""
    _, answer = driver.submit(domain="fjeld-a")
    driver.report("fjeld-a", answer["job"], succeeded=1)
    driver.at += 24 * 3600 + 1
    driver.submit()
    assert answer["job"] not in driver.cell.jobs.job_by_id
    assert len(driver.cell.jobs.items_since("fjeld-a", 0)) <= 1


def test_replicas_and_restored_snapshots_agree(driver):
    """Guards against replicas that diverge because state depends on more than the log."""
    for number in range(30):
        _, answer = driver.submit(tasks=number + 1, kind=("batch", "service", "gang")[number % 3])
        if number % 4 == 0 and answer["split"]:
            name, tasks = next(iter(answer["split"].items()))
            driver.report(name, answer["job"], succeeded=tasks)
        if number % 7 == 0:
            driver.change(CancelJobs(job_ids=[answer["job"]]))
    replica, restored = Cell(), Cell()
    for index, data in driver.log:
        replica.apply(index=index, command=data)
        if index == 20:
            restored.restore(replica.snapshot())
        elif index > 20:
            restored.apply(index=index, command=data)
    assert replica.snapshot() == driver.cell.snapshot() == restored.snapshot()


def test_empty_snapshot_is_the_empty_state():
    """Guards against a bootstrapped group whose audit chain starts unlike that of a new cell."""
    cell = Cell()
    cell.restore(b"")
    assert cell.snapshot() == Cell().snapshot()


@settings(max_examples=300, deadline=None)
@given(data=st.binary(max_size=200), at=st.floats(), request_id=st.text(max_size=5))
def test_malformed_commands_give_a_code_and_change_nothing(data, at, request_id):
    """Guards against bytes that crash every replica at the same log index."""
    cell = Cell()
    before = cell.snapshot()
    for command in (data, Command(at=at, request_id=request_id).SerializeToString()):
        reply = OperatorReply.FromString(cell.apply(index=1, command=command))
        assert reply.code in set(Code)
        if reply.code == Code.BAD_REQUEST:
            assert cell.snapshot() == before
