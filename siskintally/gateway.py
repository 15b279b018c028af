"""HTTP API of an entry for callers, endpoints, and operators.

>>> from siskintally.gateway import split_call
>>> split_call("/call/seat-count/boarding/7")
('seat-count', '/boarding/7')
"""

from json import dumps, loads
from time import monotonic
from uuid import uuid4

from siskintally.announcement import parse_age, parse_announcement
from siskintally.call import parse_call
from siskintally.codes import Code
from siskintally.errors import BadRequestError, NotFoundError
from siskintally.http_server import HttpApp, HttpResponse, json_response
from siskintally.operator_relay import VERBS
from siskintally.tokens import authenticate, check_announcer

MAX_ID_CHARS = 128
MAX_EVIDENCE_CHARS = 300

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
    """Return (service, path) of ``/call/<service>/<path>``.

    :raises BadRequestError: the service is missing or too long.
    """
    _, _, rest = path.partition("/call/")
    service, slash, tail = rest.partition("/")
    if not service or len(service) > 128:
        raise BadRequestError("path: expected /call/<service>/<path>")
    return service, slash + tail or "/"


class Gateway(HttpApp):
    """Routes and handlers of an entry's HTTP API.

    :param entry: the :class:`~siskintally.entry.Entry`.
    :param operator_by_token: ``{token: operator name}``.
    :param service_by_token: ``{token: service}``; if empty, all announcements are accepted.
    """

    __slots__ = ("_entry", "_operator_by_token", "_service_by_token")

    def __init__(self, *, entry, operator_by_token, service_by_token):
        self._entry = entry
        self._operator_by_token = operator_by_token
        self._service_by_token = service_by_token

    def error_to_response(self, error):
        """Return the JSON response for a refused request."""
        return _json_response_with_code(
            error.code, {"name": error.code.name, "message": str(error)}
        )

    async def handle(self, request):
        """Answer one request."""
        response = await self._route(request)
        if self._entry.draining:
            # The caller's next request must not use a connection that closes with this process.
            response.headers = [*response.headers, ("connection", "close")]
        return response

    async def _route(self, request):
        if request.path.startswith("/call/"):
            return await self._call(request)
        if request.path == "/v1/announce":
            return self._announce(request)
        if request.path == "/v1/health":
            ready, fields = self._entry.health()
            return json_response(200 if ready else 503, fields)
        if request.path.startswith("/v1/operator/"):
            return await self._operate(request)
        raise NotFoundError(f"path {request.path[:100]!r}: unknown")

    async def _call(self, request):
        service, path = split_call(request.path)
        target = f"{path}?{request.query}" if request.query else path
        call = parse_call(request, service=service, target=target, limits=self._entry.limits)
        answer = self._entry.refusal() or await self._entry.serve(call)
        return _http_response(call, answer)

    def _announce(self, request):
        _require_post(request)
        now = monotonic()
        fields = _parse_json(request.body)
        endpoint = parse_announcement(fields)
        authorization = request.headers.get("authorization", "")
        check_announcer(authorization, endpoint.service, self._service_by_token)
        self._entry.record_announcement(endpoint, age_s=parse_age(fields, now=now), now=now)
        return json_response(200, {"code": int(Code.DONE), "clock": now})

    async def _operate(self, request):
        _require_post(request)
        operator = authenticate(request.headers.get("authorization", ""), self._operator_by_token)
        verb = request.path.removeprefix("/v1/operator/")
        if verb not in VERBS:
            raise NotFoundError(f"verb {verb[:40]!r}: expected one of {', '.join(VERBS)}")
        arguments = _parse_json(request.body or b"{}")
        if not isinstance(arguments, dict):
            raise BadRequestError("body: expected a JSON object")
        request_id = request.headers.get("siskintally-request-id") or uuid4().hex
        if len(request_id) > MAX_ID_CHARS or not request_id.isprintable():
            raise BadRequestError(
                f"Siskintally-Request-Id: expected up to {MAX_ID_CHARS} printable characters"
            )
        reply = await self._entry.relay.relay(
            request_id=request_id,
            operator=operator,
            verb=verb,
            arguments=dumps(arguments).encode(),
        )
        headers = [("siskintally-request-id", request_id)]
        return _json_response_with_code(
            _code_or_internal(reply.code), {"answer": _parse_json(reply.answer or b"null")}, headers
        )


def _http_response(call, answer):
    headers = list(answer.headers)
    if not answer.status:
        headers.append(("content-type", "application/json"))
    headers += [
        ("siskintally-code", str(int(answer.code))),
        ("siskintally-evidence", _header_text(answer.evidence)),
        ("siskintally-request-id", call.request_id),
    ]
    return HttpResponse(
        status=answer.status or status_of(answer.code),
        body=answer.body_for_caller(),
        headers=headers,
    )


def _header_text(text):
    printable = "".join(char if " " <= char <= "~" else " " for char in text)
    return printable[:MAX_EVIDENCE_CHARS].strip()


def _json_response_with_code(code, fields, headers=()):
    all_headers = [("siskintally-code", str(int(code))), *headers]
    return json_response(status_of(code), {"code": int(code), **fields}, all_headers)


def _code_or_internal(number):
    try:
        return Code(number)
    except ValueError:
        return Code.INTERNAL


def _require_post(request):
    if request.method != "POST":
        raise BadRequestError("method: expected POST")


def _parse_json(body):
    try:
        return loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("body: expected JSON") from error
