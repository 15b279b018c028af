"""Entry daemon.

>>> from siskintally.entry import Entry
>>> Entry.__name__
'Entry'
"""

from time import monotonic
from uuid import uuid4

from anyio import Event

from siskintally.announcement import AnnouncementTable
from siskintally.codes import Code
from siskintally.forward import Forwarder, Sent, end_to_end
from siskintally.gateway import Gateway, refusal
from siskintally.http_server import HttpAnswer, serve_http


class Entry:
    """One entry process."""

    def __init__(self, *, settings, process, standalone, drain_s):
        self._settings = settings
        self._process = process
        self._drain_s = drain_s
        self._stopped = Event()
        self._table = AnnouncementTable(domain=process.domain)
        self._forwarder_by_url = {}

    async def run(self):
        """Serve until stopped."""
        await serve_http(
            Gateway(entry=self),
            address=str(self._process.http),
            until=self._stopped,
            graceful_s=self._drain_s,
        )

    async def stop(self):
        """Start the planned stop."""
        self._stopped.set()

    def health(self):
        """Return the state of the process."""
        return {"name": self._process.name}

    def announce(self, heard, *, age_s, now):
        """Take an announcement."""
        self._table.announce(heard, age_s=age_s, now=now)

    async def call(self, service, target, request):
        """Serve one request."""
        live = self._table.live(service, now=monotonic())
        if not live:
            return refusal(Code.NO_ENDPOINT, "no endpoint")
        url = live[0].url
        if url not in self._forwarder_by_url:
            self._forwarder_by_url[url] = Forwarder(url=url, connections=64)
        request_id = uuid4().hex
        outcome = await self._forwarder_by_url[url].send(
            request_id=request_id,
            method=request.method,
            target=target,
            headers=list(end_to_end(request.headers.items())),
            body=request.body,
            deadline=monotonic() + 10,
        )
        if outcome.sent is not Sent.DONE:
            return refusal(Code.OUTCOME_UNKNOWN, outcome.reason)
        headers = [*outcome.headers, ("siskintally-code", "1000")]
        return HttpAnswer(status=outcome.status, body=outcome.body, headers=headers)
