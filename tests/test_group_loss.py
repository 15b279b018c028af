"""Declared loss of domain groups: tasks that the cell moves, and the return of a lost group."""

import pytest
from anyio import run

from siskintally.audit import AuditFile
from siskintally.cell import Cell
from siskintally.cell_state_pb2 import CancelJobs
from siskintally.codes import Code
from siskintally.domain import Domain
from siskintally.domain_state_pb2 import DomainBatch
from siskintally.errors import NotLeaderError
from siskintally.group_status import MIN_SILENCE_S
from siskintally.group_status_check import MAX_LEADERLESS_S, GroupStatusCheck
from siskintally.job_counts import job_state
from siskintally.job_shares import LOST_GROUP_REASON
from siskintally.wire_pb2 import JobItem, JobSpec, SyncReply, SyncRequest
from tests.cell_commands import NAMES, Driver, group
from tests.fake_group import FakeGroup
from tests.test_cell_service import ServiceHarness
from tests.test_domain import Driver as DomainDriver

FJELD, JYLLAND, SJAELLAND = NAMES


@pytest.fixture
def driver():
    driver = Driver(Cell())
    driver.configure()
    return driver


def tasks_by_group(job):
    return {share.group: share.tasks for share in job.shares}


def submit_job(driver, **fields):
    return driver.cell.jobs.job_by_id[driver.submit(**fields)[1]["job"]]


def test_group_that_synced_recently_is_not_declared_lost(driver):
    """Guards against a group declared lost by mistake: its tasks would run in two places."""
    job = submit_job(driver, kind="service", tasks=3)
    driver.groups[0] = group(FJELD, silent_s=MIN_SILENCE_S - 1)
    code, answer = driver.lose(FJELD, force=False)
    assert code == Code.GROUP_IN_USE
    assert "119 s ago" in answer["message"]
    assert tasks_by_group(job) == dict.fromkeys(NAMES, 1)
    assert not driver.cell.group_statuses.lost_groups()
    assert driver.lose("atlantis")[0] == Code.NOT_FOUND
    driver.groups[0] = group(FJELD, silent_s=MIN_SILENCE_S)
    assert driver.lose(FJELD, force=False)[0] == Code.DONE
    records = [(record.verb, record.to_value, record.code) for record in driver.cell.audit.recent]
    assert records[-3:] == [
        ("domain lost", "lost", 4010),
        ("domain lost", "lost, forced", 4004),
        ("domain lost", "lost", 1000),
    ]


def test_service_stays_spread_and_gang_moves_whole(driver):
    """Guards against a service on one group after a loss, and a gang split over groups."""
    service = submit_job(driver, kind="service", tasks=6)
    gang = submit_job(driver, kind="gang", tasks=20, domain=FJELD)
    assert tasks_by_group(service) == dict.fromkeys(NAMES, 2)
    code, answer = driver.lose(FJELD)
    assert (code, answer) == (1000, {"lost": [FJELD], "moved": 2, "unplaced": 20})
    assert tasks_by_group(service) == {JYLLAND: 3, SJAELLAND: 3}
    assert (gang.unplaced, gang.reason, list(gang.shares)) == (20, LOST_GROUP_REASON, [])
    free = submit_job(driver, kind="gang", tasks=20)
    (home,) = tasks_by_group(free)
    driver.lose(home)
    (new_share,) = tasks_by_group(free).items()
    assert new_share == (({JYLLAND, SJAELLAND} - {home}).pop(), 20)


def test_service_is_spread_again_over_a_restored_group(driver):
    """Guards against tasks that gather on the group with most of the job, beside an empty one."""
    job = submit_job(driver, kind="service", tasks=6)
    driver.lose(FJELD)
    driver.confirm_idle(FJELD)
    driver.restore(FJELD)
    driver.lose(JYLLAND)
    assert tasks_by_group(job) == {FJELD: 3, SJAELLAND: 3}


def test_ended_tasks_stay_ended_and_others_count_as_restarted(driver):
    """Guards against ended tasks of a batch that run again, and quota that is never released."""
    job = submit_job(driver, tasks=10, domain=FJELD)
    driver.report(FJELD, job.job_id, succeeded=6, running=3, waiting=1)
    free = submit_job(driver, tasks=4)
    (home,) = tasks_by_group(free)
    driver.report(home, free.job_id, succeeded=1, running=3)
    driver.lose(home)
    assert (free.past.succeeded, free.restarted) == (1, 3)
    assert sum(tasks_by_group(free).values()) == 3
    driver.report(home, free.job_id, succeeded=4)
    assert not free.ended, "a late report of the lost group counted"
    for name, tasks in tasks_by_group(free).items():
        driver.report(name, free.job_id, succeeded=tasks)
    assert job_state(free) == "succeeded"
    used = driver.cell.jobs.quota_use.used("ski").cpu_milli
    assert used == 4000, "only the four open tasks of the first job use quota"


def test_loss_of_a_region_and_then_of_the_group_that_got_the_tasks(driver):
    """Guards against tasks that move to a group that is lost at the same time or next."""
    job = submit_job(driver, kind="service", tasks=6)
    driver.lose(FJELD, JYLLAND)
    assert tasks_by_group(job) == {SJAELLAND: 6}
    driver.lose(SJAELLAND)
    assert (tasks_by_group(job), job.unplaced, job.reason) == ({}, 6, LOST_GROUP_REASON)
    waiting = submit_job(driver, tasks=2)
    assert (waiting.unplaced, waiting.reason) == (2, LOST_GROUP_REASON)
    driver.confirm_idle(JYLLAND)
    assert driver.restore(JYLLAND)[0] == Code.DONE
    assert tasks_by_group(job) == {JYLLAND: 6}
    assert (waiting.unplaced, tasks_by_group(waiting)) == (0, {JYLLAND: 2})


def test_late_report_of_an_earlier_epoch_is_ignored(driver):
    """Guards against progress of tasks that ended with the loss being counted for new ones."""
    job = submit_job(driver, tasks=2, domain=FJELD)
    driver.lose(FJELD)
    driver.confirm_idle(FJELD)
    driver.restore(FJELD)
    assert tasks_by_group(job) == {FJELD: 2}
    driver.report(FJELD, job.job_id, succeeded=2)
    assert not job.ended
    driver.report(FJELD, job.job_id, epoch=1, succeeded=2)
    assert job_state(job) == "succeeded"


def test_cancelled_jobs_of_a_lost_group_end_and_free_their_quota(driver):
    """Guards against quota used forever by cancelled tasks whose end no group will report."""
    job = submit_job(driver, tasks=90, domain=FJELD)
    late = submit_job(driver, tasks=50)
    driver.report(FJELD, job.job_id, running=90)
    driver.change(CancelJobs(job_ids=[job.job_id]))
    assert not job.ended
    assert not late.admitted
    driver.lose(FJELD)
    assert job_state(job) == "cancelled"
    assert late.admitted


def test_restore_needs_an_idle_confirmation_of_the_present_epoch(driver):
    """Guards against work for a group that still runs tasks that other groups run now."""
    driver.lose(FJELD)
    assert driver.restore(FJELD)[0] == Code.GROUP_IN_USE
    driver.confirm_idle(FJELD, epoch=0)
    assert driver.restore(FJELD)[0] == Code.GROUP_IN_USE
    driver.confirm_idle(FJELD)
    assert driver.restore(FJELD) == (1000, {"lost": []})
    driver.lose(FJELD)
    assert driver.restore(FJELD)[0] == Code.GROUP_IN_USE, (
        "the confirmation of the first loss counted"
    )
    restored = Cell()
    restored.restore(driver.cell.snapshot())
    assert restored.snapshot() == driver.cell.snapshot()
    assert restored.group_statuses.get(FJELD).epoch == 2


def test_returned_group_ends_its_jobs_and_numbers_tasks_anew():
    """Guards against old tasks that stay or start, and against two tasks of one name."""
    driver = DomainDriver()
    domain = driver.domain
    driver.job("j", tasks=2, changed_at=5)
    driver.worker("w1")
    assert driver.assign("j/g.0", "w1")
    driver.apply(sync=SyncReply(epoch=1, lost=True))
    assert (domain.fenced, domain.cell_index, domain.is_idle) == (True, 0, False)
    assert list(domain.job_by_id["j"].task_by_id) == ["j/g.0"]
    item = JobItem(job_id="j", spec=JobSpec(name="j"), tasks=1, changed_at=9)
    driver.apply(sync=SyncReply(index=9, epoch=1, jobs=[item]))
    assert domain.fenced, "the fence was lifted while an attempt is assigned"
    restored = Domain(group="g")
    restored.restore(domain.snapshot())
    assert restored.snapshot() == domain.snapshot()
    driver.apply(batch=DomainBatch(lost=["w1"]))
    assert domain.is_idle
    assert not domain.job_by_id
    driver.job("j", tasks=2, changed_at=7)
    assert not domain.job_by_id, "a reply of the former epoch counted"
    driver.apply(sync=SyncReply(index=9, epoch=1, jobs=[item]))
    assert list(domain.job_by_id["j"].task_by_id) == ["j/g~1.0"]
    driver.worker("w1")
    assert driver.assign("j/g~1.0", "w1")


def test_calls_of_a_lost_group(tmp_path, monkeypatch):
    """Guards against a stale group status from the cell, and an uncommitted confirmation."""

    async def check():
        harness = ServiceHarness(AuditFile(path=tmp_path / "audit"))
        declare_lost = {"action": "lost", "groups": ["fjeld"]}
        assert (await harness.call("domain", declare_lost))[0] == Code.BAD_REQUEST
        declare_lost["confirm"] = True
        # A leader that has had no request of a group yet cannot know how long it is unreachable.
        assert (await harness.call("domain", declare_lost))[0] == Code.GROUP_IN_USE
        assert (await harness.call("domain", declare_lost | {"force": True}))[0] == Code.DONE
        reply = await harness.service.sync(SyncRequest(group="fjeld", wait_s=5))
        assert (reply.epoch, reply.lost, len(reply.jobs)) == (1, True, 0)
        rows = (await harness.call("status", {}))[1]["groups"]
        assert [row["standing"] for row in rows] == ["lost"]
        await harness.service.sync(SyncRequest(group="fjeld", epoch=1, idle=True))
        restore = {"action": "restore", "groups": ["fjeld"]}
        assert (await harness.call("domain", restore))[0] == Code.DONE
        check_request = SyncRequest(group="fjeld", epoch=1, check=True)
        assert not (await harness.service.sync(check_request)).lost

        async def fail_without_quorum(_):
            raise NotLeaderError("no quorum")

        monkeypatch.setattr(FakeGroup, "confirm_leadership", fail_without_quorum)
        for request in (check_request, SyncRequest(group="fjeld", epoch=1)):
            with pytest.raises(NotLeaderError):
                await harness.service.sync(request)

    run(check)


def test_start_permission_is_of_one_process_and_one_epoch():
    """Guards against a start by a process that was down while its group was declared lost."""
    driver, status_check = DomainDriver(), GroupStatusCheck()
    domain = driver.domain
    assert not status_check.permits_start(domain)
    status_check.record_reply(SyncReply(epoch=1, lost=True))
    assert not status_check.permits_start(domain)
    status_check.record_reply(SyncReply(epoch=0))
    assert status_check.permits_start(domain)
    for now in (0, MAX_LEADERLESS_S, 2 * MAX_LEADERLESS_S):
        status_check.record_leader(now)
    assert status_check.permits_start(domain), (
        "a group that has a leader may start tasks through a partition"
    )
    status_check.record_leader(3 * MAX_LEADERLESS_S + 1)
    assert not status_check.permits_start(domain), "its loss may have been declared in the gap"
    status_check.record_reply(SyncReply(epoch=0))
    driver.apply(sync=SyncReply(epoch=1, lost=True))
    assert not status_check.permits_start(domain)
    driver.apply(sync=SyncReply(index=1, epoch=1))
    assert not domain.fenced
    assert not status_check.permits_start(domain), "the status of an earlier epoch counted"
