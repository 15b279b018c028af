"""HTTP interface of an entry for callers, endpoints, and operators.

>>> from siskintally.gateway import split_call
>>> split_call("/call/seat-count/boarding/7")
('seat-count', '/boarding/7')
"""

from json import loads
from time import monotonic

from siskintally.announcement import read_age, read_announcement
from siskintally.codes import Code
from siskintally.errors import BadRequestError, NotFoundError
from siskintally.http_server import HttpApp, json_answer

STATUS_BY_CODE = {
    Code.OVERLOADED: 503,
    Code.NO_ENDPOINT: 503,
    Code.LEDGER_UNREACHABLE: 503,
    Code.DRAINING: 503,
    Code.EXPIRED: 504,
    Code.NOT_LEADER: 503,
    Code.NO_CONFIG: 503,
    Code.OUTCOME_UNKNOWN: 504,
    Code.IN_PROGRESS: 409,
    Code.BAD_REQUEST: 400,
    Code.UNAUTHORIZED: 401,
    Code.TOO_LARGE: 413,
    Code.KEY_CONFLICT: 409,
    Code.NOT_FOUND: 404,
    Code.NEVER_FITS: 422,
    Code.QUOTA_EXCEEDED: 422,
    Code.BAD_SETTINGS: 422,
    Code.VERSION_CONFLICT: 409,
    Code.STOPPED: 503,
}


def status_of(code):
    """Return the HTTP status of a result code."""
    return STATUS_BY_CODE.get(code, 200 if code < 2000 else 500)


def split_call(path):
    """Return service and path of ``/call/<service>/<path>``.

    :raises BadRequestError: no service is named.
    """
    _, _, rest = path.partition("/call/")
    service, slash, tail = rest.partition("/")
    if not service or len(service) > 128:
        raise BadRequestError("path: expected /call/<service>/<path>")
    return service, slash + tail or "/"


class Gateway(HttpApp):
    """Routes of an entry.

    :param entry: the :class:`~siskintally.entry.Entry`.
    """

    __slots__ = ("_entry",)

    def __init__(self, *, entry):
        self._entry = entry

    def failure(self, error):
        """Return the answer to input that was refused."""
        return refusal(error.code, str(error))

    async def handle(self, request):
        """Answer one request."""
        if request.path.startswith("/call/"):
            return await self._call(request)
        if request.path == "/v1/announce":
            return self._announce(request)
        if request.path == "/v1/health":
            return json_answer(200, self._entry.health())
        raise NotFoundError(f"path {request.path[:100]!r}: unknown")

    async def _call(self, request):
        service, path = split_call(request.path)
        target = f"{path}?{request.query}" if request.query else path
        return await self._entry.call(service, target, request)

    def _announce(self, request):
        if request.method != "POST":
            raise BadRequestError("method: expected POST")
        now = monotonic()
        fields = _json(request.body)
        heard = read_announcement(fields)
        self._entry.announce(heard, age_s=read_age(fields, now=now), now=now)
        return json_answer(200, {"code": int(Code.DONE), "clock": now})


def refusal(code, message, headers=()):
    """Return the answer to a request that got no response of an endpoint."""
    fields = {"code": int(code), "name": code.name, "message": message}
    all_headers = [("siskintally-code", str(int(code))), *headers]
    return json_answer(status_of(code), fields, all_headers)


def _json(body):
    try:
        return loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("body: expected JSON") from error
