"""HTTP interfaces of the platform: clients, workers, operators, readiness, and metrics.

>>> from siskintally.platform.http import STATUS_BY_CODE
>>> from siskintally.codes import Code
>>> STATUS_BY_CODE[Code.NOT_FOUND]
404
"""

from re import compile as compile_pattern

from siskintally.codes import Code
from siskintally.control_pb2 import (
    DocumentPut,
    DocumentRead,
    QueueAddress,
    WorkerGone,
    WorkerSeen,
)
from siskintally.flow_gateway import MIN_RETRY_AFTER_S
from siskintally.http_server import HttpApp, HttpResponse, json_response
from siskintally.platform.documents import read_document, read_flow, read_worker
from siskintally.platform.fields import Fields
from siskintally.queue_checks import check_document

# The last part of a path, behind the prefix of its queue.
JOB_ID = compile_pattern(r"[0-9a-fA-F]{16}\Z")
DEADLINE_MS = compile_pattern(r"[0-9]{1,15}")
STATUS_BY_CODE = {
    Code.NOT_FOUND: 404,
    Code.BAD_REQUEST: 400,
    Code.TOO_LARGE: 413,
    Code.OUTCOME_UNKNOWN: 504,
    Code.OVERLOADED: 429,
}
UNAVAILABLE = 503
GONE = 410
DEADLINE_HEADER = "siskintally-deadline-ms"
# Timeout of a heartbeat or deregistration call. The platform resends a heartbeat to another node
# after one second without a response.
HEARTBEAT_TIMEOUT_S = 0.8
MAX_CONFIG_BYTES = 4 * 1024 * 1024
METRICS_HEADER = ("content-type", "text/plain; version=0.0.4")


class PlatformApp(HttpApp):
    """Maps errors of the product to the platform's HTTP status codes."""

    __slots__ = ()

    def retry_after_s(self):
        """Return after how many seconds a refused request may be retried."""
        return MIN_RETRY_AFTER_S

    def error_to_response(self, error):
        """Return the response to a refused request."""
        status = STATUS_BY_CODE.get(error.code, UNAVAILABLE)
        may_retry = status in (UNAVAILABLE, 429)
        headers = [("retry-after", str(self.retry_after_s()))] if may_retry else []
        return json_response(
            status, {"error": str(error)[:200], "code": int(error.code)}, headers=headers
        )


class ClientApp(PlatformApp):
    """Interface for clients: submits, cancels, reads, and counts jobs.

    :param gateway: :class:`~siskintally.flow_gateway.FlowGateway`.
    """

    __slots__ = ("_gateway",)

    def __init__(self, *, gateway):
        self._gateway = gateway

    def retry_after_s(self):
        """Return the delay that the gateway advises."""
        return self._gateway.retry_after_s()

    async def handle(self, request):
        """Handle a request."""
        host = request.headers.get("host", "").partition(":")[0].lower()
        address = QueueAddress(host=host, path=request.path)
        job_id = JOB_ID.search(request.path)
        deadline_s = _deadline_s(request)
        if job_id is None and request.method == "GET":
            pending = await self._gateway.count_pending(address, deadline_s=deadline_s)
            return json_response(200, {"pending": pending})
        if job_id is None:
            return json_response(404, {"error": "no job of that name"})
        return await self._handle_job(request, job_id.group(), address, deadline_s)

    async def _handle_job(self, request, job_id, address, deadline_s):
        if request.method == "POST":
            flow = read_flow(job_id, request.body)
            await self._gateway.submit(flow, address, deadline_s=deadline_s)
            return json_response(200, {})
        if request.method == "DELETE":
            is_known = await self._gateway.cancel(job_id, address, deadline_s=deadline_s)
            return json_response(200 if is_known else GONE, {})
        if request.method == "GET":
            return _read_response(await self._gateway.read(job_id, address, deadline_s=deadline_s))
        return json_response(405, {"error": "expected GET, POST or DELETE"})


def _read_response(reply):
    """Return the response to a GET of a job, or of a queue whose prefix ends like a job id."""
    if not reply.known:
        return json_response(GONE, {})
    return json_response(200, {"state": reply.state} if reply.state else {"pending": reply.pending})


def _deadline_s(request):
    """Return the seconds for which the client waits, None without the header."""
    text = request.headers.get(DEADLINE_HEADER, "")
    return int(text) / 1000 if DEADLINE_MS.fullmatch(text) else None


class ReadyApp(PlatformApp):
    """Readiness endpoint.

    :param is_ready: function that returns whether the process accepts requests.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, *, is_ready):
        self._is_ready = is_ready

    async def handle(self, request):
        """Return status 200 if ready, otherwise 503."""
        return HttpResponse(status=200 if self._is_ready() else UNAVAILABLE)


class MetricsApp(PlatformApp):
    """Metrics endpoint: counters and histograms as text.

    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = ("_counters",)

    def __init__(self, *, counters):
        self._counters = counters

    async def handle(self, request):
        """Return all metrics."""
        body = self._counters.to_text().encode()
        return HttpResponse(status=200, body=body, headers=[METRICS_HEADER])


class ControlApp(PlatformApp):
    """Interface for workers and operators.

    :param client: :class:`~siskintally.control_client.ControlClient`.
    """

    __slots__ = ("_client",)
    max_body_bytes = MAX_CONFIG_BYTES

    def __init__(self, *, client):
        self._client = client

    async def handle(self, request):
        """Handle a request."""
        parts = request.path.strip("/").split("/")
        match request.method, parts:
            case "POST", ["instances", worker_id, "heartbeat"]:
                worker = read_worker(worker_id, request.body)
                await self._client.call(WorkerSeen(worker=worker), timeout=HEARTBEAT_TIMEOUT_S)
                return json_response(200, {})
            case "POST", ["instances", worker_id, "deregister"]:
                body = WorkerGone(id=worker_id, born_ms=_read_incarnation(request.body))
                await self._client.call(body, timeout=HEARTBEAT_TIMEOUT_S)
                return json_response(200, {})
            case "POST", ["config", "replace"]:
                return await self._replace_document(request)
            case "GET", ["config", "get"]:
                return await self._get_document()
        return json_response(404, {"error": "no such call"})

    async def _replace_document(self, request):
        document = read_document(request.body)
        check_document(document)
        await self._client.call(DocumentPut(document=document))
        return json_response(200, {})

    async def _get_document(self):
        reply = await self._client.call(DocumentRead())
        if not reply.document.version:
            return json_response(UNAVAILABLE, {"error": "no configuration yet"})
        headers = [("content-type", "application/json")]
        return HttpResponse(status=200, body=reply.document.original, headers=headers)

    def error_to_response(self, error):
        """Return the response to a refused request.

        An unknown outcome becomes status 503, so that the sender tries another node.
        """
        if error.code == Code.OUTCOME_UNKNOWN:
            return json_response(UNAVAILABLE, {"error": str(error)[:200]})
        return super().error_to_response(error)


def _read_incarnation(body):
    if not body.strip():
        return 0
    return Fields.parse(body).integer("born", 0)
