"""Placement of jobs: capacity, gangs, starvation, preemption, ejected workers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.backlog import ORDER_WINDOW_S
from siskintally.placement import Placement
from siskintally.pool import OvercommitError
from siskintally.reservation import MAX_RESERVATIONS, RESERVE_AFTER_S
from siskintally.size import NO_RESOURCES, Size
from siskintally.workload import Job, Kind, Urgency

CAPACITY = Size(cpu=8000, memory=16_000)


def make_placement(workers, *, racks=1, capacity=CAPACITY):
    placement = Placement()
    for number in range(workers):
        rack = f"r{number % racks}"
        placement.add_worker(f"w{number}", domain="d", rack=rack, capacity=capacity)
    return placement


def make_job(name, cpu, *, tasks=1, kind=Kind.BATCH, urgency=Urgency.NORMAL, run_s=60.0, **fields):
    need = Size(
        cpu=cpu, memory=fields.pop("memory", 100), accelerators=fields.pop("accelerators", 0)
    )
    return Job(
        job_id=name,
        kind=kind,
        need=need,
        tasks=tasks,
        submitted=fields.pop("submitted", 0.0),
        urgency=urgency,
        run_s=run_s,
        **fields,
    )


def place_tasks(placement, now):
    return {
        assignment.task_id: assignment.worker
        for assignment in placement.decide(now=now).assignments
    }


def check_invariants(placement):
    """Compare the sums that the pool keeps with sums recomputed from the tasks; check gangs."""
    for worker in placement.pool.worker_by_name.values():
        allocated = sum(
            (entry.job.need for entry in worker.allocation_by_task.values()), NO_RESOURCES
        )
        assert allocated.fits_in(worker.capacity)
        assert allocated + worker.free == worker.capacity
        reserved_needs = [
            job.need
            for job in placement.job_by_id.values()
            for reserved_worker in job.reservations
            if reserved_worker is worker
        ]
        assert sum(reserved_needs, NO_RESOURCES) == worker.reserved
    for job in placement.job_by_id.values():
        if job.kind == Kind.GANG and not job.cancelled:
            assert not (job.running and job.waiting)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("submit", "end", "fail", "cancel", "lose", "add", "drain", "wait")),
        st.integers(0, 10_000),
        st.sampled_from(list(Kind)),
        st.sampled_from(list(Urgency)),
        st.integers(1, 4),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(events=EVENTS)
def test_no_sequence_of_events_allocates_more_than_a_worker_has(events):
    """Guards against overcommitment and against a gang that is placed in part."""
    placement, now = (
        make_placement(3, racks=2, capacity=Size(cpu=8000, memory=9000, accelerators=2)),
        0.0,
    )
    for number, (event, value, kind, urgency, tasks) in enumerate(events):
        now += 1.0
        running = sorted(placement.pool.allocation_by_task)
        names = sorted(placement.pool.worker_by_name)
        if event == "submit":
            fields = {"memory": value // 3, "accelerators": value % 2}
            placement.submit(
                make_job(
                    f"j{number}",
                    value,
                    tasks=tasks,
                    kind=kind,
                    urgency=urgency,
                    submitted=now,
                    **fields,
                )
            )
        elif event in ("end", "fail") and running:
            task_id = running[value % len(running)]
            placement.record_end(task_id, now=now, failed=event == "fail", succeeded=event == "end")
        elif event == "cancel" and placement.job_by_id:
            placement.cancel(sorted(placement.job_by_id)[value % len(placement.job_by_id)])
        elif event == "lose" and names:
            for task_id in placement.remove_worker(names[value % len(names)]):
                if placement.job_by_id[task_id.partition("/")[0]].kind != Kind.GANG:
                    placement.requeue(task_id.partition("/")[0], task_id)
        elif event == "add":
            placement.add_worker(f"n{number}", domain="d", rack="r9", capacity=CAPACITY)
        elif event == "drain" and names:
            placement.set_worker_draining(names[value % len(names)], draining=bool(tasks % 2))
        elif event == "wait":
            now += 20.0
        placement.decide(now=now)
        check_invariants(placement)


def test_allocating_more_than_is_free_is_refused_by_the_pool():
    """Guards against a policy that picks a worker without enough free resources."""
    placement = make_placement(1)
    with pytest.raises(OvercommitError):
        placement.pool.allocate(placement.pool.worker_by_name["w0"], "j/0", make_job("j", 9000))
    check_invariants(placement)


def test_two_gangs_that_each_fit_alone_do_not_block_each_other():
    """Guards against a deadlock of two gangs of which each is placed in part."""
    placement = make_placement(4)
    for name in ("a", "b"):
        placement.submit(make_job(name, 8000, tasks=3, kind=Kind.GANG))
    first = place_tasks(placement, 0.0)
    assert {task.partition("/")[0] for task in first} == {"a"} and len(first) == 3
    assert len(placement.pool.allocation_by_task) == 3
    for task_id in first:
        placement.record_end(task_id, now=1.0, succeeded=True)
    assert len(place_tasks(placement, 1.0)) == 3


def test_a_stream_of_small_jobs_does_not_starve_a_gang():
    """Guards against starvation of a gang if freed resources always go to the next small job."""
    placement = make_placement(2)
    running, started = [], False
    for number in range(16):
        placement.submit(make_job(f"s{number}", 1000))
    running.extend(place_tasks(placement, 0.0))
    placement.submit(make_job("gang", 8000, tasks=2, kind=Kind.GANG))
    for step in range(200):
        now = float(step)
        placement.submit(make_job(f"t{step}", 1000, submitted=now))
        if running:
            placement.record_end(running.pop(0), now=now, succeeded=True)
        assigned = place_tasks(placement, now)
        started = started or "gang/0" in assigned
        running.extend(task for task in assigned if not task.startswith("gang"))
    assert started


def test_a_reservation_moves_to_where_resources_become_free_first():
    """Guards against a gang that waits for the workers reserved first while others become free."""
    placement = make_placement(6)
    for number in range(12):
        placement.submit(make_job(f"b{number}", 4000))
    worker_by_task = place_tasks(placement, 0.0)
    gang = make_job("gang", 8000, tasks=2, kind=Kind.GANG)
    placement.submit(gang)
    place_tasks(placement, 0.0)
    place_tasks(placement, RESERVE_AFTER_S)
    chosen = {worker.name for worker in gang.reservations}
    others = [task for task, name in worker_by_task.items() if name not in chosen]
    others.sort(key=worker_by_task.get)
    for number, task_id in enumerate(others[:4]):
        placement.submit(make_job(f"late{number}", 100, submitted=1000.0))
        placement.record_end(task_id, now=RESERVE_AFTER_S, succeeded=True)
        check_invariants(placement)
    assigned = place_tasks(placement, RESERVE_AFTER_S)
    assert {"gang/0", "gang/1"} <= set(assigned) and not gang.reservations


def test_a_reserved_place_on_an_unreachable_worker_is_not_used():
    """Guards against a start order for a worker that cannot be reached."""
    placement = make_placement(1)
    placement.submit(make_job("first", 8000))
    place_tasks(placement, 0.0)
    placement.submit(make_job("next", 8000))
    place_tasks(placement, 0.0)
    place_tasks(placement, RESERVE_AFTER_S)
    assert placement.job_by_id["next"].reservations
    placement.set_worker_connected("w0", connected=False)
    placement.record_end("first/0", now=RESERVE_AFTER_S, succeeded=True)
    assert place_tasks(placement, RESERVE_AFTER_S) == {}
    placement.set_worker_connected("w0", connected=True)
    assert place_tasks(placement, RESERVE_AFTER_S) == {"next/0": "w0"}


def test_large_tasks_go_first_but_pass_no_earlier_window():
    """Guards against small tasks that fill large holes, and against large ones that starve them."""
    placement = make_placement(1)
    placement.submit(make_job("small", 3000))
    placement.submit(make_job("large", 7000, submitted=ORDER_WINDOW_S / 2))
    assert list(place_tasks(placement, 0.0)) == ["large/0"]
    placement.submit(make_job("later", 8000, submitted=ORDER_WINDOW_S * 2))
    placement.record_end("large/0", now=1.0, succeeded=True)
    assert list(place_tasks(placement, 1.0)) == ["small/0"]


def test_only_a_few_jobs_have_reservations_at_once():
    """Guards against a pool that is left idle by reservations for every blocked job."""
    placement = make_placement(20)
    for number in range(20):
        placement.submit(make_job(f"small{number}", 5000))
    place_tasks(placement, 0.0)
    for number in range(10):
        placement.submit(make_job(f"large{number}", 8000))
    place_tasks(placement, 1.0)
    place_tasks(placement, 2.0 + RESERVE_AFTER_S)
    reserved = [job for job in placement.job_by_id.values() if job.reservations]
    assert len(reserved) == MAX_RESERVATIONS


def test_urgent_work_waits_for_the_end_of_the_tasks_it_stops():
    """Guards against resources that count as free when the stop order was only sent."""
    placement = make_placement(1)
    placement.submit(make_job("low", 2000, tasks=4, urgency=Urgency.DEFERRABLE))
    assert len(place_tasks(placement, 0.0)) == 4
    placement.submit(make_job("now", 4000, urgency=Urgency.URGENT))
    decision = placement.decide(now=1.0)
    assert len(decision.stops) == 2 and not decision.assignments
    placement.submit(make_job("other", 2000))
    placement.record_end(decision.stops[0], now=2.0)
    assert place_tasks(placement, 2.0) == {}
    placement.record_end(decision.stops[1], now=3.0)
    assert "now/0" in place_tasks(placement, 3.0)


def test_urgent_work_stops_neither_services_nor_normal_batch():
    """Guards against preemption of anything but deferrable batch tasks."""
    placement = make_placement(1)
    placement.submit(make_job("service", 4000, kind=Kind.SERVICE, urgency=Urgency.DEFERRABLE))
    placement.submit(make_job("batch", 4000))
    place_tasks(placement, 0.0)
    placement.submit(make_job("now", 4000, urgency=Urgency.URGENT))
    decision = placement.decide(now=1.0)
    assert decision.stops == [] and decision.assignments == []


@pytest.mark.parametrize(
    ("job", "reason"),
    [
        (make_job("j", 9000), "needs 9000 cpu_milli, the largest worker has 8000"),
        (make_job("j", 1, accelerators=1), "needs 1 accelerators, the largest worker has 0"),
        (make_job("j", 8000, tasks=3, kind=Kind.GANG), "3 tasks must run at once"),
    ],
)
def test_jobs_that_never_fit_show_the_reason(job, reason):
    """Guards against jobs that wait forever without showing a reason."""
    placement = make_placement(2)
    placement.submit(job)
    assert place_tasks(placement, 0.0) == {}
    assert job.never_fits and reason in job.reason


def test_no_job_is_marked_as_never_fitting_before_workers_are_known():
    """Guards against jobs that are marked as never fitting right after an election."""
    placement, job = Placement(), make_job("j", 1000)
    placement.submit(job)
    place_tasks(placement, 0.0)
    assert not job.never_fits
    placement.add_worker("w0", domain="d", rack="r", capacity=CAPACITY)
    assert place_tasks(placement, 0.1) == {"j/0": "w0"}


def test_a_worker_that_fails_every_task_is_tried_again_with_one_task():
    """Guards against a broken worker that fails all queued tasks, and against its loss for good."""
    placement = make_placement(1)
    for number in range(5):
        placement.submit(make_job(f"j{number % 2}-{number}", 1000))
        (task_id,) = place_tasks(placement, 0.0)
        placement.record_end(task_id, now=0.0, failed=True)
    placement.submit(make_job("next", 1000, tasks=3))
    assert place_tasks(placement, 59.0) == {}
    assert len(place_tasks(placement, 60.0)) == 1
    placement.record_end("next/0", now=61.0, failed=True)
    assert place_tasks(placement, 179.0) == {}
    assert len(place_tasks(placement, 181.0)) == 1
    placement.record_end("next/1", now=182.0, succeeded=True)
    assert (
        len(place_tasks(placement, 182.0)) == 1
        and placement.pool.worker_by_name["w0"].accepts_tasks
    )


def test_a_running_service_task_readmits_an_ejected_worker():
    """Guards against a worker that stays on probation for ever.

    After an ejection, a worker is probed with one task; a service task that runs does not end.
    """
    placement = make_placement(1)
    placement.submit(make_job("a", 100, tasks=3))
    placement.submit(make_job("b", 100, tasks=3))
    for task_id in place_tasks(placement, 0.0):
        placement.record_end(task_id, now=0.0, failed=True)
    placement.submit(make_job("s", 1000, tasks=2, kind=Kind.SERVICE, run_s=0))
    assert len(place_tasks(placement, 60.0)) == 1
    assert place_tasks(placement, 61.0) == place_tasks(placement, 80.0) == {}
    assert len(place_tasks(placement, 91.0)) == 1


def test_failures_of_one_job_do_not_eject_a_worker():
    """Guards against ejecting healthy workers because of a job that cannot run anywhere."""
    placement = make_placement(1)
    placement.submit(make_job("broken", 1000, tasks=8))
    for task_id in place_tasks(placement, 0.0):
        placement.record_end(task_id, now=0.0, failed=True)
    assert placement.pool.worker_by_name["w0"].accepts_tasks


def test_a_task_that_failed_is_tried_on_another_worker():
    """Guards against a broken worker that uses up all attempts of a task."""
    placement = make_placement(2)
    placement.submit(make_job("tightest", 1000))
    (first,) = place_tasks(placement, 0.0).values()
    placement.submit(make_job("j", 1000))
    assert place_tasks(placement, 0.0) == {"j/0": first}
    placement.record_end("j/0", now=0.0, failed=True)
    placement.job_by_id["j"].avoided_workers.add(first)
    placement.requeue("j", "j/0")
    assert set(place_tasks(placement, 1.0).values()) == {"w0", "w1"} - {first}


def test_services_use_each_rack_before_any_rack_twice():
    """Guards against a rack failure that takes a whole service."""
    placement = make_placement(12, racks=4)
    placement.submit(make_job("s", 500, tasks=8, kind=Kind.SERVICE))
    racks = [
        placement.pool.worker_by_name[name].rack for name in place_tasks(placement, 0.0).values()
    ]
    assert {rack: racks.count(rack) for rack in racks} == {f"r{n}": 2 for n in range(4)}


def test_order_is_urgent_then_normal_then_deferrable_unless_late():
    """Guards against priority inversion, and against deferrable work that is never run."""
    placement = make_placement(1)
    for name, urgency in (("d", Urgency.DEFERRABLE), ("n", Urgency.NORMAL), ("u", Urgency.URGENT)):
        placement.submit(make_job(name, 8000, urgency=urgency))
    assert list(place_tasks(placement, 0.0)) == ["u/0"]
    placement.record_end("u/0", now=1.0)
    assert list(place_tasks(placement, 1.0)) == ["n/0"]
    placement.submit(make_job("n2", 8000, submitted=3200.0))
    placement.record_end("n/0", now=3300.0)
    assert list(place_tasks(placement, 3300.0)) == ["d/0"]


def test_a_drained_worker_gets_nothing_new():
    """Guards against new tasks on a worker that is leaving."""
    placement = make_placement(1)
    placement.set_worker_draining("w0", draining=True)
    placement.submit(make_job("j", 1000))
    assert place_tasks(placement, 0.0) == {}
    placement.set_worker_draining("w0", draining=False)
    assert place_tasks(placement, 0.1) == {"j/0": "w0"}


def test_cancelling_many_jobs_stops_only_running_tasks():
    """Guards against placing cancelled tasks and against losing track of running ones."""
    placement = make_placement(2)
    for number in range(10_000):
        placement.submit(make_job(f"j{number}", 8000))
    running = place_tasks(placement, 0.0)
    stopped = [task for n in range(10_000) for task in placement.cancel(f"j{n}")]
    assert sorted(stopped) == sorted(running) and len(running) == 2
    assert place_tasks(placement, 1.0) == {}
    for task_id in stopped:
        placement.record_end(task_id, now=2.0)
    assert place_tasks(placement, 2.0) == {} and placement.pool.free == placement.pool.capacity
