"""Random walks of losses, returns, syncs and job changes over a cell and three domain groups.

The groups run tasks as the platform does: a machine that is switched off runs nothing, and disks
keep what was committed. Losses are declared only of groups that are switched off.
"""

from collections import Counter
from os import environ
from random import Random

import pytest

from siskintally.cell import Cell
from siskintally.cell_state_pb2 import CancelJobs, Command
from siskintally.domain import Domain
from siskintally.domain_state_pb2 import (
    AssignmentRecord,
    AttemptEnd,
    DomainBatch,
    DomainCommand,
    DomainReply,
    WorkerRecord,
)
from siskintally.group_status_check import GroupStatusCheck
from siskintally.job_counts import job_state
from siskintally.wire_pb2 import JobReport, JobSpec, Resources
from tests.cell_commands import NAMES, Driver

STEPS = 250
WALKS = 60
FIRST_SEED = int(environ.get("SISKINTALLY_SEED", "1"))
KINDS = (
    *("submit", "cancel", "sync", "sync", "place", "place", "complete", "report", "report"),
    *("deliver", "off", "on", "lose", "restore", "snapshot"),
)
CAPACITY = Resources(cpu_milli=1 << 30, memory_mb=1 << 30)


class Site:
    """A domain group with one worker.

    ``running`` is {task id: job id} of the tasks on the worker.

    :param completed: {job id: number of tasks that have succeeded}, shared by all sites.
    """

    def __init__(self, name, completed):
        self.name = name
        self.domain = Domain(group=name)
        self.running = {}
        self.completed = completed
        self.is_on = False
        self.sessions = 0
        self.switch_on()

    def commit(self, **change):
        """Apply one change and return the reply."""
        data = DomainCommand(at=1.0, **change).SerializeToString()
        return DomainReply.FromString(self.domain.apply(index=1, command=data))

    def switch_on(self):
        """Start new processes on the old disks; the worker reports that it runs nothing."""
        self.is_on = True
        self.status_check = GroupStatusCheck()
        self.sessions += 1
        tasks = [task for job in self.domain.job_by_id.values() for task in job.task_by_id.values()]
        ended = [
            AttemptEnd(task_id=task.task_id, attempt=task.attempt, cause=AttemptEnd.LOST)
            for task in tasks
            if task.worker
        ]
        record = WorkerRecord(name="w", session=str(self.sessions), capacity=CAPACITY)
        self.commit(batch=DomainBatch(ended=ended, joined=[record]))

    def switch_off(self):
        """End all processes and tasks."""
        self.is_on = False
        self.running.clear()

    def sync(self, driver):
        """Follow the cell once, and confirm that nothing runs if it asks for that."""
        domain = self.domain
        reply = driver.cell.changes_since(self.name, domain.cell_index, domain.epoch)
        self.commit(sync=reply)
        self.status_check.record_reply(reply)
        self.stop()
        if domain.fenced and domain.is_idle:
            driver.confirm_idle(self.name, domain.epoch)

    def stop(self):
        """Stop the tasks of cancelled jobs."""
        for task_id in list(self.running):
            task = self.domain.task(task_id)
            if self.domain.job_by_id[self.running[task_id]].item.cancelled:
                del self.running[task_id]
                self.end(task, AttemptEnd.STOPPED)

    def end(self, task, cause):
        """Commit the end of an attempt."""
        end = AttemptEnd(task_id=task.task_id, attempt=task.attempt, cause=cause)
        self.commit(batch=DomainBatch(ended=[end]))

    def place(self, random, share=1.0):
        """Assign some waiting tasks and start those whose assignment was accepted."""
        if not self.status_check.permits_start(self.domain):
            return
        for job_id, job in self.domain.job_by_id.items():
            for task in job.waiting_tasks():
                if random.random() <= share:
                    record = AssignmentRecord(
                        task_id=task.task_id,
                        attempt=task.attempt + 1,
                        worker="w",
                        session=str(self.sessions),
                    )
                    if not self.commit(batch=DomainBatch(assigned=[record])).refused:
                        self.running[task.task_id] = job_id

    def complete(self, random, share=1.0):
        """End some tasks of batch jobs and gangs."""
        for task_id, job_id in list(self.running.items()):
            kind = self.domain.job_by_id[job_id].item.spec.kind
            if kind != JobSpec.SERVICE and random.random() <= share:
                del self.running[task_id]
                self.completed[job_id] += 1
                self.end(self.domain.task(task_id), AttemptEnd.SUCCEEDED)

    def report(self):
        """Return a report with the progress of all jobs, or None while the group is fenced."""
        rows = [job.progress() for job in self.domain.job_by_id.values()]
        report = JobReport(group=self.name, jobs=rows, epoch=self.domain.epoch)
        return None if self.domain.fenced else report


class Walk:
    """A cell, three sites, and reports in flight."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.driver = Driver(Cell())
        self.driver.configure("[teams.ski]\ncpu_milli = 60000\nmemory_mb = 100000\n")
        self.completed = Counter()
        self.sites = [Site(name, self.completed) for name in NAMES]
        self.reports = []

    def jobs(self):
        """Return the jobs of the cell by id."""
        return self.driver.cell.jobs.job_by_id

    def step(self):
        """Take one random step."""
        random, driver = self.random, self.driver
        site = random.choice(self.sites)
        kind = random.choice(KINDS)
        if kind == "submit":
            job_kind = random.choice(("batch", "service", "gang"))
            domain = random.choice(("", "", *NAMES))
            driver.submit(kind=job_kind, tasks=random.randint(1, 8), domain=domain)
        elif kind == "cancel" and self.jobs() and random.random() < 0.3:
            driver.change(CancelJobs(job_ids=[random.choice(list(self.jobs()))]))
        elif kind == "deliver" and self.reports:
            self.deliver(self.reports.pop(random.randrange(len(self.reports))))
        elif kind == "off" and site.is_on:
            site.switch_off()
        elif kind == "on" and not site.is_on:
            site.switch_on()
        elif kind == "lose" and random.random() < 0.5:
            driver.lose(*[other.name for other in self.sites if not other.is_on])
        elif kind == "restore":
            driver.restore(site.name)
        elif kind == "snapshot":
            self.take_snapshots(site)
        elif site.is_on and kind in ("sync", "place", "complete", "report"):
            self.step_site(site, kind)

    def step_site(self, site, kind):
        """Take a step of one site that is switched on."""
        if kind == "sync":
            site.sync(self.driver)
        elif kind == "report":
            self.reports.append(site.report())
        else:
            getattr(site, kind)(self.random, share=0.5)

    def deliver(self, report):
        """Apply a report to the cell; it may be old."""
        if report is not None:
            driver = self.driver
            driver.apply_command(Command(at=driver.at, groups=driver.groups, job_report=report))

    def take_snapshots(self, site):
        """Replace the cell and a domain by copies from snapshots, like a restarted store."""
        cell, domain = Cell(), Domain(group=site.name)
        cell.restore(self.driver.cell.snapshot())
        domain.restore(site.domain.snapshot())
        self.driver.cell, site.domain = cell, domain

    def check(self):
        """Check that no job runs, or has ever started, more tasks than it may."""
        running = Counter(job_id for site in self.sites for job_id in site.running.values())
        for job_id, job in self.jobs().items():
            tasks = job.spec.tasks
            site_names = [site.name for site in self.sites if job_id in site.running.values()]
            assert running[job_id] <= tasks, (
                f"{job_id}: {running[job_id]} of {tasks} in {site_names}"
            )
            started = running[job_id] + self.completed[job_id]
            assert started <= tasks + job.restarted, f"{job_id}: {started} started of {tasks}"

    def settle(self):
        """Switch on and restore all sites; every job must then end, run or wait for quota."""
        for _ in range(12):
            for site in self.sites:
                if not site.is_on:
                    site.switch_on()
                site.sync(self.driver)
                self.driver.restore(site.name)
                site.place(self.random)
                site.complete(self.random)
                self.deliver(site.report())
                self.check()
        for job in self.jobs().values():
            running = sum(share.progress.running for share in job.shares)
            done = job.ended or (job.spec.kind == JobSpec.SERVICE and running == job.spec.tasks)
            assert done or job.reason == "quota", f"neither ended nor running: {job}"
            if job.ended and not job.cancelled:
                assert job_state(job) == "succeeded"
        reserved = sum(
            job.spec.tasks for job in self.jobs().values() if job.admitted and not job.ended
        )
        used = self.driver.cell.jobs.quota_use.used("ski").cpu_milli
        assert used == 1000 * reserved, "the quota does not agree with the services that run"


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + WALKS))
def test_no_task_runs_in_two_groups(seed):
    """Guards against tasks that run in a returned group and in another one, or never run."""
    walk = Walk(seed)
    for _ in range(STEPS):
        walk.step()
        walk.check()
    walk.settle()
