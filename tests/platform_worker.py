"""A stand-in for a worker of the platform: its HTTP calls, on a stub worker in memory."""

from json import loads

from siskintally.driver import Order, Refusal
from siskintally.http_server import HttpApp, json_response

REASON_BY_REFUSAL = {Refusal.FENCED: "fence", Refusal.OLD: "old", Refusal.LATE: "late"}


def read_order(body):
    """Return the order in the body of a call."""
    return Order(
        task_id=body["task"],
        run=body["run"],
        fence=body["fence"],
        spec=body.get("spec", ""),
        lease_until_ms=body.get("untilMs", 0),
        checkpoint=body.get("checkpointed", ""),
    )


class PlatformWorkerApp(HttpApp):
    """Answers the calls of the control group.

    :param worker: :class:`~siskintally.stub_pool.StubPoolWorker`.
    """

    def __init__(self, *, worker):
        self.worker = worker

    async def handle(self, request):
        """Answer one call."""
        body = loads(request.body)
        if not self.is_addressed(request):
            return json_response(421, {})
        if request.path == "/hold":
            return self._hold(body)
        order = read_order(body)
        handle_order = {"/run-start": self.worker.start, "/run-stop": self.worker.stop}[
            request.path
        ]
        reply = handle_order(order)
        if reply.refusal != Refusal.NONE:
            reason = REASON_BY_REFUSAL[reply.refusal]
            return json_response(409, {"clockMs": reply.clock_ms, "reason": reason})
        return json_response(200, {"clockMs": reply.clock_ms})

    def is_addressed(self, request):
        """Return whether a call is meant for this worker."""
        return request.headers.get("siskintally-expect-instance") == self.worker.record.id

    def _hold(self, body):
        report = self.worker.poll_status(
            fence=body["fence"],
            lease_until_ms=body.get("untilMs"),
            committed_end_number=body["ackedUpto"],
        )
        if report.refusal != Refusal.NONE:
            return json_response(409, {"clockMs": report.clock_ms, "reason": "fence"})
        return json_response(
            200,
            {
                "clockMs": report.clock_ms,
                "born": self.worker.record.born_ms,
                "running": [[row.task_id, row.run, "", 50] for row in report.running],
                "ended": [
                    [end.number, end.task_id, end.run, end.kind.name.lower(), ""]
                    for end in report.ended
                ],
            },
        )

    def announcement(self, address):
        """Return the body of a heartbeat."""
        self.worker.record.seq += 1
        return {
            "service": "s",
            "addr": address,
            "zone": "d",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 4000, "memMb": 4000},
            "labels": ["a", "r1"],
            "clockMs": self.worker.clock_ms,
            "seq": self.worker.record.seq,
            "born": self.worker.record.born_ms,
        }
