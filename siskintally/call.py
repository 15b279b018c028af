"""A caller's request (Call) and its result (Answer), with their HTTP and wire forms.

>>> from siskintally.call import Answer
>>> from siskintally.codes import Code
>>> Answer.without_response(Code.EXPIRED, "deadline passed in the queue").is_not_run
True
"""

from hashlib import sha256
from json import dumps
from time import monotonic
from uuid import uuid4

from siskintally.codes import Code, not_run
from siskintally.errors import BadRequestError
from siskintally.forward import end_to_end_headers
from siskintally.limits import CLASS_BY_NAME, NORMAL
from siskintally.wire_pb2 import ForwardReply, ForwardRequest, Header

METHODS = ("GET", "POST")
MAX_CALLER_CHARS = 128
MAX_KEY_CHARS = 256
MAX_DEADLINE_MS = 3_600_000
RESERVED_HEADER_PREFIX = "siskintally-"


class Call:
    """A caller's request to a service.

    :param target: path with query.
    :param headers: list of ``(name, value)`` for the endpoint.
    :param rank: class, 0 is the most urgent.
    :param deadline: monotonic time.
    :param key: idempotency key of a non-idempotent request, else empty.
    """

    __slots__ = (
        "body",
        "caller",
        "deadline",
        "headers",
        "key",
        "method",
        "non_idempotent",
        "rank",
        "request_id",
        "service",
        "target",
    )

    def __init__(
        self, *, request_id, service, method, target, headers, body, rank, deadline, caller, key
    ):
        self.request_id = request_id
        self.service = service
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.rank = rank
        self.deadline = deadline
        self.caller = caller
        self.key = key
        self.non_idempotent = bool(key)

    def digest(self):
        """Return the SHA-256 that must be equal for requests with the same idempotency key."""
        head = f"{self.method}\0{self.service}\0{self.target}\0".encode()
        return sha256(head + self.body).digest()

    def to_message(self):
        """Return the call as a message for an entry of another domain."""
        return ForwardRequest(
            request_id=self.request_id,
            service=self.service,
            method=self.method,
            path=self.target,
            headers=[Header(name=name, value=value) for name, value in self.headers],
            body=self.body,
            class_=self.rank,
            deadline_s=max(self.deadline - monotonic(), 0.0),
            once=self.non_idempotent,
        )


def parse_call(request, *, service, target, limits):
    """Return the call in a caller's HTTP request.

    :raises BadRequestError: names the invalid part and what is allowed.
    """
    headers = request.headers
    if request.method not in METHODS:
        raise BadRequestError(f"method {request.method}: expected one of {', '.join(METHODS)}")
    rank = CLASS_BY_NAME.get(headers.get("siskintally-class", "normal").lower())
    if rank is None:
        raise BadRequestError(f"Siskintally-Class: expected one of {', '.join(CLASS_BY_NAME)}")
    return Call(
        request_id=uuid4().hex,
        service=service,
        method=request.method,
        target=target,
        headers=[*end_to_end_headers(request.header_items)],
        body=request.body,
        rank=rank,
        deadline=monotonic() + _deadline_s(headers, limits, rank),
        caller=_limited_header(headers, "siskintally-caller", MAX_CALLER_CHARS) or request.peer,
        key=_limited_header(headers, "idempotency-key", MAX_KEY_CHARS),
    )


def parse_forward(message, *, caller):
    """Return the call in a message from another entry.

    :param caller: name of that entry.
    """
    call = Call(
        request_id=message.request_id,
        service=message.service,
        method=message.method,
        target=message.path,
        headers=[(header.name, header.value) for header in message.headers],
        body=message.body,
        rank=message.class_ if message.class_ in CLASS_BY_NAME.values() else NORMAL,
        deadline=monotonic() + message.deadline_s,
        caller=caller,
        key="",
    )
    call.non_idempotent = message.once
    return call


def _deadline_s(headers, limits, rank):
    text = headers.get("siskintally-deadline-ms")
    if text is None:
        return limits.deadline_s(rank)
    if not (text.isascii() and text.isdigit() and 1 <= int(text[:10]) <= MAX_DEADLINE_MS):
        raise BadRequestError(f"Siskintally-Deadline-Ms: expected 1 to {MAX_DEADLINE_MS}")
    return int(text) / 1000


def _limited_header(headers, name, limit):
    value = headers.get(name, "")
    if len(value) > limit or not value.isprintable():
        raise BadRequestError(f"{name}: expected at most {limit} printable characters")
    return value


class Answer:
    """Result of a call, as returned to the caller.

    :param code: result code.
    :param evidence: short text for the caller that explains the code.
    :param status: HTTP status of the endpoint's response, 0 without a response.
    :param headers: list of ``(name, value)`` of the endpoint's response.
    """

    __slots__ = ("body", "code", "evidence", "headers", "status")

    def __init__(self, *, code, evidence, status=0, headers=(), body=b""):
        self.code = code
        self.evidence = evidence
        self.status = status
        self.headers = headers
        self.body = body

    @classmethod
    def without_response(cls, code, evidence):
        """Return an answer without a response of an endpoint."""
        return cls(code=code, evidence=evidence)

    @classmethod
    def from_response(cls, status, headers, body):
        """Return an answer with an endpoint's complete response."""
        failed = status >= 500
        return cls(
            code=Code.ENDPOINT_FAILED if failed else Code.DONE,
            evidence="complete response, id and digest checked",
            status=status,
            headers=[pair for pair in headers if not pair[0].startswith(RESERVED_HEADER_PREFIX)],
            body=body,
        )

    @classmethod
    def from_message(cls, reply):
        """Return the answer in the reply of another entry; an unknown code is OUTCOME_UNKNOWN."""
        try:
            code = Code(reply.code)
        except ValueError:
            code = Code.OUTCOME_UNKNOWN
        headers = [(header.name, header.value) for header in reply.headers]
        return cls(
            code=code,
            evidence=reply.evidence,
            status=reply.status,
            headers=headers,
            body=reply.body,
        )

    @property
    def is_not_run(self):
        """Whether the code guarantees that the request was not run."""
        return not_run(self.code)

    def to_message(self):
        """Return the answer as a message for the entry that forwarded the request."""
        return ForwardReply(
            code=int(self.code),
            evidence=self.evidence,
            status=self.status,
            headers=[Header(name=name, value=value) for name, value in self.headers],
            body=self.body,
        )

    def body_for_caller(self):
        """Return the body for the caller: that of the response, else JSON with the code."""
        if self.status:
            return self.body
        fields = {"code": int(self.code), "name": self.code.name, "message": self.evidence}
        return dumps(fields).encode()
