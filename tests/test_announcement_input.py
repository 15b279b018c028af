"""Announcements of endpoints that cannot be used."""

from math import inf
from time import monotonic

from anyio import run
from pytest import mark, raises

from siskintally.announcement import parse_age, parse_announcement
from siskintally.errors import BadRequestError
from siskintally.forward import Forwarder, SendStatus

FIELDS = {
    "name": "p1",
    "service": "s",
    "domain": "d",
    "slots": 8,
    "connections": 64,
    "url": "http://127.0.0.1:7301",
    "incarnation": 1,
    "seq": 1,
    "state": "serving",
}


def nested_list():
    """Return a list nested too deeply to be printed."""
    value = []
    for _ in range(2000):
        value = [value]
    return value


@mark.parametrize("field", FIELDS)
def test_a_nested_value_in_an_announcement_is_refused(field):
    """Guards against an error message that cannot be made from the value it quotes."""
    with raises(BadRequestError):
        parse_announcement({**FIELDS, field: nested_list()})


@mark.parametrize("value", [10**400, inf, nested_list(), "1"])
@mark.parametrize("field", ["echo", "held_s"])
def test_an_echo_beyond_the_range_of_a_clock_is_refused(field, value):
    """Guards against an arithmetic error in place of a refusal."""
    with raises(BadRequestError):
        parse_age({"echo": 1.0, field: value}, now=2.0)


@mark.parametrize("host", ["a..b", "x" * 300])
def test_an_endpoint_whose_host_cannot_be_resolved_is_unreachable(host):
    """Guards against a request that keeps its slot because sending it raised another error."""

    async def main():
        forwarder = Forwarder(url=f"http://{host}:80", connections=1)
        result = await forwarder.send(
            request_id="r",
            method="GET",
            target="/",
            headers=(),
            body=b"",
            deadline=monotonic() + 5.0,
        )
        assert (result.send_status, result.unreachable) == (SendStatus.NOT_SENT, True)
        await forwarder.close()

    run(main)
