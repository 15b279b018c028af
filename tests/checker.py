"""Checks of the invariants in docs/invariants.md on the records of endpoint and worker stubs.

The system's own view is not used. All times are readings of one machine's monotonic clock.
"""

from collections import defaultdict
from json import JSONDecodeError, loads

from siskintally.codes import Code, not_run
from siskintally.domain_job import job_id_of

RESOURCES = ("cpu_milli", "memory_mb", "accelerators")


def read(*paths):
    """Return the records of all files in order of time, without a torn last line."""
    records = []
    for path in paths:
        lines = path.read_text(encoding="utf-8").split("\n") if path.exists() else []
        for number, line in enumerate(lines):
            try:
                records.extend([loads(line)] if line.strip() else [])
            except JSONDecodeError:
                if number != len(lines) - 1:
                    raise
    return sorted(records, key=lambda record: record["t"])


class Answer:
    """Answer that a caller received.

    :param code: result code, or None if the connection was lost.
    :param body: received body.
    :param expected: body that belongs to the request.
    :param key: idempotency key of the request, if it had one.
    """

    __slots__ = ("body", "code", "expected", "key", "request_id")

    def __init__(self, *, request_id, code, body=b"", expected=b"", key=None):
        self.request_id = request_id
        self.code = code
        self.body = body
        self.expected = expected
        self.key = key


def check_workers(records):
    """Check I1 and I2 and return the violations as texts.

    A ``capacity`` or ``killed`` record ends all attempts that ran on the worker before.
    """
    violations, capacity, running, worker_by_task = [], {}, defaultdict(dict), {}
    for record in records:
        worker, event = record["worker"], record["event"]
        if event in ("capacity", "killed"):
            for attempt in running.pop(worker, {}):
                worker_by_task.pop(attempt[0], None)
            if event == "capacity":
                capacity[worker] = record
            continue
        attempt = (record["task"], record["attempt"])
        if event != "start":
            if running[worker].pop(attempt, None) and worker_by_task.get(attempt[0]) == worker:
                del worker_by_task[attempt[0]]
            continue
        if attempt[0] in worker_by_task:
            present_worker = worker_by_task[attempt[0]]
            violations.append(
                f"{record['t']}: task {attempt[0]} starts on {worker}, runs on {present_worker}"
            )
        worker_by_task[attempt[0]] = worker
        running[worker][attempt] = record
        violations.extend(_overcommitted(record, capacity[worker], running[worker].values()))
    return violations


def _overcommitted(record, capacity, running):
    for resource in RESOURCES:
        used = sum(attempt[resource] for attempt in running)
        if used > capacity[resource]:
            yield f"{record['t']}: {record['worker']} {resource} {used} > {capacity[resource]}"


def check_jobs(records, tasks_by_job):
    """Check that no job runs more tasks at once than it has, counted over all workers.

    Tasks are counted by job, because another domain group gives them other names.
    """
    violations, job_by_attempt = [], {}
    for record in records:
        worker, event = record["worker"], record["event"]
        if event in ("capacity", "killed"):
            job_by_attempt = {key: job for key, job in job_by_attempt.items() if key[0] != worker}
            continue
        key, job = (worker, record["task"], record["attempt"]), record["task"].rpartition("/")[0]
        if event != "start":
            job_by_attempt.pop(key, None)
            continue
        job_by_attempt[key] = job
        running = list(job_by_attempt.values()).count(job)
        if running > tasks_by_job[job]:
            violations.append(f"{record['t']}: {job} runs {running} of {tasks_by_job[job]} tasks")
    return violations


def check_stopped(records, job_ids, *, since):
    """Check that no task of the given jobs starts after a time or still runs at the end.

    Returns the violations as texts.

    :param since: time at which the system reported the jobs as cancelled.
    """
    violations, running = [], set()
    for record in records:
        if "task" not in record or job_id_of(record["task"]) not in job_ids:
            continue
        attempt = (record["task"], record["attempt"])
        if record["event"] == "start":
            running.add(attempt)
            if record["t"] > since:
                violations.append(f"{record['t']}: {attempt} starts after its job was cancelled")
        else:
            running.discard(attempt)
    return violations + [f"{attempt} still runs" for attempt in running]


def check_requests(records, answers):
    """Check I3, I4 and I5 and return the violations as texts.

    :param records: records of the endpoint stubs.
    :param answers: :class:`Answer` of the callers.
    """
    starts = [record for record in records if record["event"] == "start"]
    executed_ids = {record["request_id"] for record in starts}
    starts_by_key = defaultdict(list)
    for record in starts:
        if record.get("key"):
            starts_by_key[record["key"]].append(record)
    violations = [
        f"key {key} ran {len(runs)} times at {[run['endpoint'] for run in runs]}"
        for key, runs in starts_by_key.items()
        if len(runs) > 1
    ]
    for answer in answers:
        if answer.code is None:
            continue
        if not_run(answer.code) and answer.request_id in executed_ids:
            violations.append(f"request {answer.request_id} answered {answer.code} but ran")
        if answer.code in (Code.DONE, Code.REPLAYED):
            violations.extend(_wrong_answers(answer, executed_ids, starts_by_key))
    return violations


def _wrong_answers(answer, executed_ids, starts_by_key):
    if answer.body != answer.expected:
        yield f"request {answer.request_id} got {answer.body[:40]!r}, not its own answer"
    if answer.request_id not in executed_ids and answer.key not in starts_by_key:
        yield f"request {answer.request_id} answered {answer.code} but never ran"
