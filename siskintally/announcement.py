"""Table of the endpoints' announcements, each with an upper bound of its age.

The age of an announcement relayed by another entry is bounded by an echo: a message that echoes
this entry's clock value ``e`` was written after ``e``, so at time ``now`` it is at most ``now - e``
old, however long it was in flight. Callers pass the current monotonic time as ``now``.

>>> from siskintally.announcement import AnnouncementTable, parse_announcement
>>> table = AnnouncementTable(domain="d")
>>> received = parse_announcement({"name": "p1", "service": "s", "domain": "d", "slots": 8,
...     "connections": 64, "url": "http://127.0.0.1:7301", "incarnation": 1, "seq": 1,
...     "state": "serving"})
>>> table.record(received, age_s=0.0, now=10.0)
False
>>> [endpoint.name for endpoint in table.live("s", now=12.9)], table.live("s", now=13.1)
(['p1'], [])
"""

from math import inf
from urllib.parse import urlsplit

from siskintally.codes import Code
from siskintally.errors import BadRequestError, SiskintallyError
from siskintally.wire_pb2 import AnnounceExchange, Announcement

ANNOUNCEMENT_TTL_S = 3.0
# A leaving endpoint is remembered longer than any earlier announcement of it can seem fresh.
TOMBSTONE_S = 60.0
MAX_ENDPOINTS = 4096
# Shortest time between two searches of a full table for expired endpoints.
EXPIRE_INTERVAL_S = 0.25
MAX_NAME_CHARS = 128
MAX_URL_CHARS = 256
MAX_SLOTS = 1024
MAX_CONNECTIONS = 8192
MAX_NUMBER = (1 << 63) - 1
# Upper bound of the ratio of two VMs' clock rates; monotonic clocks differ by less than 1%.
MAX_CLOCK_RATE_RATIO = 1.01
STATES = ("serving", "leaving")


class TableFullError(SiskintallyError):
    """The table has no space for another endpoint; nothing was changed."""

    code = Code.OVERLOADED


class Endpoint:
    """Last announcement of an endpoint.

    ``alive_at`` is the latest time at which the endpoint was certainly announcing, or -inf;
    ``direct_alive_at`` is the same by its own messages to this entry alone. ``received_at`` is when
    this entry received the announcement.
    """

    __slots__ = (
        "alive_at",
        "connections",
        "direct_alive_at",
        "domain",
        "incarnation",
        "leaving",
        "name",
        "received_at",
        "seq",
        "service",
        "slots",
        "url",
    )

    def __init__(
        self, *, name, service, domain, url, slots, connections, incarnation, seq, leaving
    ):
        self.name = name
        self.service = service
        self.domain = domain
        self.url = url
        self.slots = slots
        self.connections = connections
        self.incarnation = incarnation
        self.seq = seq
        self.leaving = leaving
        self.alive_at = -inf
        self.direct_alive_at = -inf
        self.received_at = -inf

    def version(self):
        """Return the sort key of the announcements of one endpoint."""
        return (self.incarnation, self.seq)

    def is_live(self, now):
        """Return whether the endpoint may get new work."""
        return not self.leaving and now - self.alive_at <= ANNOUNCEMENT_TTL_S

    def is_remembered(self, now):
        """Return whether the endpoint must stay in the table."""
        return now - self.received_at <= (TOMBSTONE_S if self.leaving else ANNOUNCEMENT_TTL_S)


def parse_announcement(fields):
    """Return the endpoint in an announcement, a decoded JSON object.

    :raises BadRequestError: names the invalid field and what is allowed.
    """
    if not isinstance(fields, dict):
        raise BadRequestError("announcement: expected a JSON object")
    state = fields.get("state")
    if state not in STATES:
        raise BadRequestError(f"state: expected one of {', '.join(STATES)}")
    return Endpoint(
        name=_text_field(fields, "name", MAX_NAME_CHARS),
        service=_text_field(fields, "service", MAX_NAME_CHARS),
        domain=_text_field(fields, "domain", MAX_NAME_CHARS),
        url=_url_field(fields),
        slots=_int_field(fields, "slots", 1, MAX_SLOTS),
        connections=_int_field(fields, "connections", 1, MAX_CONNECTIONS),
        incarnation=_int_field(fields, "incarnation", 0, MAX_NUMBER),
        seq=_int_field(fields, "seq", 0, MAX_NUMBER),
        leaving=state == "leaving",
    )


def parse_age(fields, *, now):
    """Return the upper bound of an announcement's age in seconds; None without an echo.

    :param fields: with ``echo``, the ``clock`` in this entry's last answer, and ``held_s``, the
        seconds between the endpoint's receipt of that answer and its announcement.
    :raises BadRequestError: the echo is not a number or can't be a value of this entry's clock.
    """
    if "echo" not in fields:
        return None
    echo, held_s = fields["echo"], fields.get("held_s", 0)
    for value in (echo, held_s):
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not abs(value) <= MAX_NUMBER:
            raise BadRequestError("echo, held_s: expected numbers")
    age_s = now - echo - held_s / MAX_CLOCK_RATE_RATIO
    if held_s < 0 or echo > now:
        raise BadRequestError("echo, held_s: expected values of this entry's last answer")
    return max(age_s, 0.0)


def _text_field(fields, key, limit):
    value = fields.get(key)
    if not isinstance(value, str) or not 1 <= len(value) <= limit or not value.isprintable():
        raise BadRequestError(f"{key}: expected 1 to {limit} printable characters")
    return value


def _int_field(fields, key, minimum, maximum):
    value = fields.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise BadRequestError(f"{key}: expected a whole number {minimum}..{maximum}")
    return value


def _url_field(fields):
    text = _text_field(fields, "url", MAX_URL_CHARS)
    try:
        parts = urlsplit(text)
        valid = parts.scheme == "http" and parts.hostname and 1 <= (parts.port or 0) <= 65535
    except ValueError:
        valid = False
    if not valid or parts.path or parts.query or parts.fragment or parts.username:
        raise BadRequestError("url: expected http://address:port")
    return text


class AnnouncementTable:
    """Endpoints known to one entry, at most MAX_ENDPOINTS.

    :param domain: failure domain of the entry.
    """

    __slots__ = (
        "_by_name",
        "_drained",
        "_last_expiry_at",
        "_last_sent_at_by_peer",
        "_names_by_service",
        "_sent_versions_by_peer",
        "domain",
    )

    def __init__(self, *, domain):
        self.domain = domain
        self._by_name = {}
        self._drained = frozenset()
        self._names_by_service = {}
        self._last_sent_at_by_peer = {}
        self._sent_versions_by_peer = {}
        self._last_expiry_at = -inf

    def __len__(self):
        return len(self._by_name)

    def live(self, service, *, now):
        """Return the endpoints of a service in this domain that may get new work."""
        names = self._names_by_service.get(service, ())
        found = (self._by_name[name] for name in names if name not in self._drained)
        return [
            endpoint
            for endpoint in found
            if endpoint.domain == self.domain and endpoint.is_live(now)
        ]

    def set_drained(self, names):
        """Replace the set of names of the endpoints that operators have drained."""
        self._drained = names

    def services(self, *, now):
        """Return the services with live endpoints in this domain."""
        return [service for service in self._names_by_service if self.live(service, now=now)]

    def record(self, received, *, age_s, now):
        """Record an announcement from the endpoint itself.

        :param age_s: upper bound of its age in seconds.
        :returns: whether the endpoint is leaving and was not known to be.
        :raises TableFullError: no space; nothing was changed.
        """
        received.alive_at = received.direct_alive_at = now - age_s
        return self._update(received, now)

    def merge_exchange(self, exchange, *, peer, now):
        """Record announcements relayed by another entry.

        :param peer: identity of the sending process; a restarted process has a new one.
        :returns: names of the endpoints that are leaving and were not known to be.
        """
        self._last_sent_at_by_peer[peer] = max(
            exchange.sent_at, self._last_sent_at_by_peer.get(peer, 0.0)
        )
        has_echo = 0.0 < exchange.echo <= now
        newly_leaving = []
        for message in exchange.announcements:
            received = _from_message(message)
            if received is None:
                continue
            if has_echo:
                received.alive_at = (
                    now - (now - exchange.echo + max(message.age_s, 0.0)) * MAX_CLOCK_RATE_RATIO
                )
            elif not received.leaving:
                continue
            try:
                if self._update(received, now):
                    newly_leaving.append(received.name)
            except TableFullError:
                continue
        return newly_leaving

    def build_exchange(self, *, peer, domain, now):
        """Return the message that relays fresh direct announcements to another entry.

        Each announcement is relayed once per peer, and again after :meth:`forget_peer`.

        :param peer: identity of the other process.
        :param domain: failure domain of the other entry; only its endpoints are relayed.
        """
        exchange = AnnounceExchange(sent_at=now, echo=self._last_sent_at_by_peer.get(peer, 0.0))
        sent_before = self._sent_versions_by_peer.get(peer, {})
        sent = self._sent_versions_by_peer[peer] = {}
        for endpoint in self._by_name.values():
            if endpoint.domain != domain or now - endpoint.direct_alive_at > ANNOUNCEMENT_TTL_S:
                continue
            sent[endpoint.name] = endpoint.version()
            if sent_before.get(endpoint.name) != endpoint.version():
                exchange.announcements.append(_to_message(endpoint, now))
        return exchange

    def forget_peer(self, peer):
        """Drop the state kept for a process whose session has ended."""
        self._last_sent_at_by_peer.pop(peer, None)
        self._sent_versions_by_peer.pop(peer, None)

    def expire(self, *, now):
        """Drop the endpoints that need not be remembered any more.

        :returns: their names.
        """
        self._last_expiry_at = now
        expired = [
            name for name, endpoint in self._by_name.items() if not endpoint.is_remembered(now)
        ]
        for name in expired:
            self._remove(self._by_name[name])
        return expired

    def _update(self, received, now):
        known = self._by_name.get(received.name)
        if known is None:
            return self._insert(received, now)
        if known.is_remembered(now):
            if received.version() < known.version():
                return False
            if received.incarnation == known.incarnation and known.leaving and not received.leaving:
                return False
            if received.incarnation == known.incarnation:
                received.alive_at = max(received.alive_at, known.alive_at)
                received.direct_alive_at = max(received.direct_alive_at, known.direct_alive_at)
        newly_leaving = received.leaving and not (
            known.leaving and known.incarnation == received.incarnation
        )
        self._remove(known)
        self._insert(received, now)
        return newly_leaving

    def _insert(self, received, now):
        # Limited in rate during a flood of announcements, because it scans the whole table.
        if len(self._by_name) >= MAX_ENDPOINTS and now - self._last_expiry_at >= EXPIRE_INTERVAL_S:
            self.expire(now=now)
        if len(self._by_name) >= MAX_ENDPOINTS:
            raise TableFullError(f"announcements: {MAX_ENDPOINTS} endpoints are known already")
        received.received_at = now
        self._by_name[received.name] = received
        self._names_by_service.setdefault(received.service, {})[received.name] = True
        return received.leaving

    def _remove(self, known):
        del self._by_name[known.name]
        names = self._names_by_service[known.service]
        del names[known.name]
        if not names:
            del self._names_by_service[known.service]


def _to_message(endpoint, now):
    return Announcement(
        name=endpoint.name,
        service=endpoint.service,
        domain=endpoint.domain,
        url=endpoint.url,
        slots=endpoint.slots,
        connections=endpoint.connections,
        incarnation=endpoint.incarnation,
        seq=endpoint.seq,
        leaving=endpoint.leaving,
        age_s=now - endpoint.direct_alive_at,
    )


def _from_message(message):
    fields = {
        "name": message.name,
        "service": message.service,
        "domain": message.domain,
        "url": message.url,
        "slots": message.slots,
        "connections": message.connections,
        "incarnation": message.incarnation,
        "seq": message.seq,
        "state": STATES[message.leaving],
    }
    try:
        return parse_announcement(fields)
    except BadRequestError:
        return None
