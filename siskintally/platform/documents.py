"""Parsers of the platform's JSON: jobs, configurations, and worker announcements.

>>> from siskintally.platform.documents import read_flow
>>> flow = read_flow("5c0e", b'{"spec":"s","steps":[{"count":2,"cpu":500,"memMb":64}]}')
>>> flow.steps[0].tasks, flow.steps[0].cpu_milli
(2, 500)
"""

from re import compile as compile_pattern

from siskintally.control_pb2 import (
    AdviceTerms,
    Flow,
    FlowStep,
    PoolWorker,
    Queue,
    QueueDocument,
    WorkerService,
)
from siskintally.errors import BadRequestError
from siskintally.http_pool import parse_address
from siskintally.platform.fields import Fields, check_text

MAX_SMALL_INTEGER = 1_000_000_000
STATES = ("ready", "draining")
# An id is sent back to its worker in a header.
WORKER_ID = compile_pattern(r"[!-~]{1,256}")


def read_flow(flow_id, body):
    """Parse a submitted job, which is a flow in the product's terms.

    :raises BadRequestError: names the field and the allowed values.
    """
    fields = Fields.parse(body)
    flow = Flow(
        id=flow_id,
        spec=fields.text("spec", ""),
        times=fields.integer("times", 0, maximum=MAX_SMALL_INTEGER),
        first_run_ms=fields.integer("firstRunMs", 0),
        interval_ms=fields.integer("intervalMs", 0),
    )
    flow.steps.extend(_step(step) for step in fields.children("steps"))
    return flow


def _step(fields):
    def small_integer(name):
        return fields.integer(name, 0, maximum=MAX_SMALL_INTEGER)

    return FlowStep(
        tasks=small_integer("count"),
        cpu_milli=small_integer("cpu"),
        memory_mb=small_integer("memMb"),
        accelerators=small_integer("gpu"),
        estimate_ms=round(fields.number("estimateMs", 0)),
        after=_step_numbers(fields.array("after")),
        checkpointable=fields.boolean("checkpointable"),
        gang=fields.boolean("gang"),
        one_rack=fields.boolean("sameRack"),
        label=fields.text("requiredLabel", ""),
        data_rack=fields.text("dataRack", ""),
        max_per_worker=small_integer("maxPerServer"),
        speculative=fields.boolean("speculative"),
        lasting=fields.boolean("longRunning"),
        image=fields.text("image", ""),
        tail_target_ms=round(fields.number("targetMs", 0)),
        filling=fields.boolean("fills"),
        max_unavailable=small_integer("maxUnavailable"),
    )


def _step_numbers(numbers):
    for number in numbers:
        if (
            not isinstance(number, int)
            or isinstance(number, bool)
            or not 0 <= number < MAX_SMALL_INTEGER
        ):
            raise BadRequestError("after: expected numbers of steps")
        yield number


def read_document(body):
    """Parse a complete configuration.

    :raises BadRequestError: the configuration is invalid; no part of it may be used.
    """
    fields = Fields.parse(body)
    document = QueueDocument(version=fields.integer("version"), original=body)
    if document.version == 0:
        raise BadRequestError("version: expected 1 or more")
    for service in fields.children("services"):
        document.services.append(
            WorkerService(
                name=service.text("name"),
                guards_capacity=service.boolean("enforcesCapacity"),
                spare=service.boolean("spare"),
            )
        )
    for route in fields.children("routes"):
        document.queues.append(_queue(route))
    if not fields.has("routes") or not fields.has("services"):
        raise BadRequestError("routes, services: expected lists")
    fields.child("limits")
    return document


def _queue(fields):
    queue = Queue(
        name=fields.text("name"),
        host=fields.text("host").lower(),
        prefix=fields.text("pathPrefix"),
        service=fields.text("service"),
        priority=fields.integer("priority", 0, maximum=MAX_SMALL_INTEGER),
        timeout_ms=fields.integer("timeoutMs", maximum=MAX_SMALL_INTEGER),
        aim_ms=fields.number("targetRuntimeMs", 0),
        max_attempts=fields.integer("maxAttempts", 1, maximum=MAX_SMALL_INTEGER),
        stretch=fields.number("stretch", 1),
    )
    if fields.has("advice"):
        terms = fields.child("advice")
        queue.advice.CopyFrom(
            AdviceTerms(
                decide_ms=terms.number("decideMs", 0),
                per_worker_ms=terms.number("periodMs", 0),
                valid_ms=terms.number("validMs"),
            )
        )
    return queue


def read_worker(worker_id, body):
    """Parse the announcement of a worker.

    :raises BadRequestError: the announcement is invalid.
    """
    if not WORKER_ID.fullmatch(worker_id):
        raise BadRequestError("id: expected 1 to 256 printable ASCII characters")
    fields = Fields.parse(body)
    state = fields.text("state")
    if state not in STATES:
        raise BadRequestError(f"state = {state[:40]!r}: expected one of {', '.join(STATES)}")
    capacity = fields.child("capacity")
    labels = [check_text("labels", label) for label in fields.array("labels")]
    address = fields.text("addr")
    parse_address(address)
    return PoolWorker(
        id=worker_id,
        born_ms=fields.integer("born", 0),
        service=fields.text("service"),
        address=address,
        domain=fields.text("zone"),
        cpu_milli=capacity.integer("cpu", 0, maximum=MAX_SMALL_INTEGER),
        memory_mb=capacity.integer("memMb", 0, maximum=MAX_SMALL_INTEGER),
        accelerators=capacity.integer("gpu", 0, maximum=MAX_SMALL_INTEGER),
        labels=labels,
        # On the platform, the last label of a worker names its rack.
        rack=labels[-1] if labels else "",
        leaving=state == "draining",
        leaves_in_ms=round(fields.number("drainRemainingMs", 0)),
        seq=fields.integer("seq", 0),
        clock_ms=fields.integer("clockMs", 0),
    )
