"""Stub endpoint for tests: an HTTP service that announces itself and records its requests.

>>> from siskintally.stub_endpoint import FAULTS
>>> "silent" in FAULTS
True
"""

from hashlib import sha256
from json import dumps, loads
from random import uniform
from time import monotonic, time_ns

from anyio import Event, create_task_group, sleep
from httpx import AsyncClient, HTTPError

from siskintally.errors import BadRequestError
from siskintally.http_server import HttpApp, HttpResponse, json_response, respond, serve_http
from siskintally.log import get_logger
from siskintally.stub_duplicator import ResponseDuplicator

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.8
DRAIN_TIMEOUT_S = 60.0
LATE_DELAY_S = 5.0
# With the fault "doubled", which can only be set at the start, a relay listens at the announced
# address, and the stub listens at the same port of this address, which no other process uses.
DOUBLED_HOST = "127.0.0.2"
REQUEST_ID_HEADER = "siskintally-request-id"
FAULTS = ("none", "fail", "silent", "late", "truncated", "wrong-id", "wrong-digest", "doubled")

log = get_logger("stub-endpoint")


class StubEndpointOptions:
    """Options of a stub endpoint.

    :param http: ``host:port`` to listen on.
    :param entries: URLs of the entries to announce to.
    :param slots: announced number of requests at a time.
    :param connections: announced number of connections at a time.
    :param service_s: service time of a request, seconds.
    :param fault: one of :data:`FAULTS`.
    :param record: path of the record file, or empty.
    :param token: token of the service, or empty.
    """

    __slots__ = (
        "connections",
        "domain",
        "entries",
        "fault",
        "http",
        "name",
        "record",
        "service",
        "service_s",
        "slots",
        "token",
    )

    def __init__(
        self,
        *,
        name,
        service,
        domain,
        http,
        entries,
        slots,
        connections,
        service_s,
        fault,
        record,
        token="",
    ):
        self.name = name
        self.service = service
        self.domain = domain
        self.http = http
        self.entries = entries
        self.slots = slots
        self.connections = connections
        self.service_s = service_s
        self.fault = fault
        self.record = record
        self.token = token


class Recorder:
    """Appends a JSON line per event to a file, line-buffered.

    :param path: path of the file; nothing is recorded if it is empty.
    """

    __slots__ = ("_file",)

    def __init__(self, *, path):
        self._file = open(path, "a", buffering=1, encoding="utf-8") if path else None  # noqa: SIM115

    def write(self, **fields):
        """Append one event with the monotonic time ``t``."""
        if self._file is not None:
            self._file.write(dumps({"t": monotonic(), **fields}) + "\n")


class Announcer:
    """Announces the endpoint each second to one entry, and to the next one after a failure."""

    __slots__ = ("_echo_by_entry", "_entry_index", "_incarnation", "_options", "_seq", "leaving")

    def __init__(self, *, options):
        self.leaving = False
        self._options = options
        self._incarnation = time_ns()
        self._seq = 0
        self._entry_index = 0
        self._echo_by_entry = {}

    async def run(self):
        """Announce until cancelled."""
        async with AsyncClient(timeout=ANNOUNCE_TIMEOUT_S) as client:
            while self._options.entries:
                await self.announce(client)
                await sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self, client):
        """Announce once, to the first entry that accepts the announcement.

        :returns: whether an entry accepted it.
        """
        for _ in self._options.entries:
            entry = self._options.entries[self._entry_index % len(self._options.entries)]
            has_echo = entry in self._echo_by_entry
            if await self._post(client, entry):
                # Without an echo the entry cannot bound the age of an announcement, so the first
                # one to an entry is repeated with an echo.
                return has_echo or await self._post(client, entry)
            self._entry_index += 1
        return False

    async def _post(self, client, entry):
        options = self._options
        self._seq += 1
        fields = {
            "name": options.name,
            "service": options.service,
            "domain": options.domain,
            "url": f"http://{options.http}",
            "slots": options.slots,
            "connections": options.connections,
            "incarnation": self._incarnation,
            "seq": self._seq,
            "state": "leaving" if self.leaving else "serving",
        }
        if entry in self._echo_by_entry:
            clock, received_at = self._echo_by_entry[entry]
            fields.update(echo=clock, held_s=monotonic() - received_at)
        try:
            headers = {"authorization": f"Bearer {options.token}"} if options.token else {}
            response = await client.post(f"{entry}/v1/announce", json=fields, headers=headers)
            response.raise_for_status()
            self._echo_by_entry[entry] = (float(response.json()["clock"]), monotonic())
        except (HTTPError, ValueError, KeyError) as error:
            log.info("announcement failed", entry=entry, error=repr(error))
            self._echo_by_entry.pop(entry, None)
            return False
        return True


class StubEndpoint(HttpApp):
    """Daemon of a stub endpoint.

    :param options: :class:`StubEndpointOptions`.
    """

    __slots__ = (
        "_announcer",
        "_fault",
        "_idle",
        "_in_flight",
        "_options",
        "_recorder",
        "_service_s",
        "_stopped",
    )

    def __init__(self, *, options):
        self._options = options
        self._recorder = Recorder(path=options.record)
        self._announcer = Announcer(options=options)
        self._fault = options.fault
        self._service_s = options.service_s
        self._in_flight = 0
        self._idle = Event()
        self._stopped = Event()

    async def run(self):
        """Serve until :meth:`stop` has finished."""
        address = self._options.http
        async with create_task_group() as tasks:
            tasks.start_soon(self._announcer.run)
            if self._fault == "doubled":
                host, _, port = address.rpartition(":")
                address = f"{DOUBLED_HOST}:{port}"
                relay = ResponseDuplicator(host=host, port=int(port), target_host=DOUBLED_HOST)
                tasks.start_soon(relay.run)
            await serve_http(
                self, address=address, stop_event=self._stopped, graceful_s=DRAIN_TIMEOUT_S
            )
            tasks.cancel_scope.cancel()

    async def stop(self):
        """Announce the leaving state, wait until no request is in flight, and end."""
        self._announcer.leaving = True
        self._recorder.write(event="leaving", endpoint=self._options.name)
        async with AsyncClient(timeout=ANNOUNCE_TIMEOUT_S) as client:
            if self._options.entries:
                await self._announcer.announce(client)
        # Entries that the announcement did not reach may dispatch for another 3 s, as long as the
        # last announcement is valid.
        await sleep(3.0 if self._options.entries else 0.0)
        while self._in_flight:
            self._idle = Event()
            await self._idle.wait()
        self._stopped.set()

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request; faults are injected through the raw ``send``."""
        if scope["type"] == "http" and not scope["path"].startswith("/control"):
            await self._serve_request(scope, receive, send)
        else:
            await super().__call__(scope, receive, send)

    async def handle(self, request):
        """Serve /control: ``{"fault": ..., "service_ms": ...}`` changes fault and service time."""
        fields = loads(request.body or b"{}")
        fault = fields.get("fault", self._fault)
        if fault not in FAULTS or fault == "doubled":
            raise BadRequestError(f"fault = {fault!r}: expected one of {', '.join(FAULTS[:-1])}")
        self._fault = fault
        self._service_s = fields.get("service_ms", self._service_s * 1000) / 1000
        return json_response(200, {"fault": self._fault, "in_flight": self._in_flight})

    async def _serve_request(self, scope, receive, send):
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        event = {
            "endpoint": self._options.name,
            "request_id": headers.get(REQUEST_ID_HEADER, ""),
            "key": headers.get("idempotency-key", ""),
            "path": scope["path"],
        }
        self._in_flight += 1
        is_over_slots = self._in_flight > self._options.slots
        self._recorder.write(
            event="start", in_flight=self._in_flight, over_slots=is_over_slots, **event
        )
        try:
            if await self._wait_service_time(receive):
                await self._send_response(event, scope["path"], body, send)
        finally:
            self._in_flight -= 1
            self._recorder.write(event="end", **event)
            if not self._in_flight:
                self._idle.set()

    async def _wait_service_time(self, receive):
        await sleep(self._service_s)
        if self._fault == "late":
            await sleep(LATE_DELAY_S + uniform(0, 1))
        while self._fault == "silent":
            if (await receive())["type"] == "http.disconnect":
                return False
        return True

    async def _send_response(self, event, path, body, send):
        fields = {
            "endpoint": self._options.name,
            "id": event["request_id"],
            "path": path,
            "body": body.decode("latin-1"),
        }
        content = dumps(fields).encode()
        response = HttpResponse(
            status=500 if self._fault == "fail" else 200,
            body=content,
            headers=[
                (
                    REQUEST_ID_HEADER,
                    "another" if self._fault == "wrong-id" else event["request_id"],
                ),
                ("siskintally-digest", sha256(content).hexdigest()),
                ("content-type", "application/json"),
            ],
        )
        if self._fault == "wrong-digest":
            response.body = content[:-1] + b"]"
        if self._fault == "truncated":
            await self._send_truncated(response, send)
        else:
            await respond(send, response)

    async def _send_truncated(self, response, send):
        headers = [(name.encode(), value.encode()) for name, value in response.headers]
        headers.append((b"content-length", str(len(response.body)).encode()))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": response.body[:5], "more_body": True})
