"""Table of the endpoints' announcements, each with an upper bound of its age.

The age of an announcement relayed by another entry is bounded by an echo: a message that echoes
this entry's clock value ``e`` was written after ``e``, so at time ``now`` it is at most ``now - e``
old, however long it was in flight. Callers pass the current monotonic time as ``now``.

>>> from siskintally.announcement import AnnouncementTable, read_announcement
>>> table = AnnouncementTable(domain="d")
>>> heard = read_announcement({"name": "p1", "service": "s", "domain": "d", "slots": 8,
...     "connections": 64, "url": "http://127.0.0.1:7301", "incarnation": 1, "seq": 1,
...     "state": "serving"})
>>> table.announce(heard, age_s=0.0, now=10.0)
False
>>> [endpoint.name for endpoint in table.live("s", now=12.9)], table.live("s", now=13.1)
(['p1'], [])
"""

from math import inf, isfinite
from urllib.parse import urlsplit

from siskintally.codes import Code
from siskintally.errors import BadRequestError, SiskintallyError
from siskintally.wire_pb2 import AnnounceExchange, Announcement

TTL_S = 3.0
# A leaving endpoint is remembered longer than any earlier announcement of it can seem fresh.
TOMBSTONE_S = 60.0
MAX_ENDPOINTS = 4096
# Shortest time between two searches of a full table for expired endpoints.
EXPIRE_S = 0.25
MAX_NAME = 128
MAX_URL = 256
MAX_SLOTS = 1024
MAX_CONNECTIONS = 8192
MAX_NUMBER = (1 << 63) - 1
# Upper bound of the ratio of two VMs' clock rates; monotonic clocks differ by less than 1%.
CLOCK_RATE = 1.01
STATES = ("serving", "leaving")


class TableFullError(SiskintallyError):
    """The table has no space for another endpoint; nothing was changed."""

    code = Code.OVERLOADED


class Endpoint:
    """Last announcement of an endpoint.

    ``at`` is the latest time at which the endpoint was certainly announcing, or -inf; ``direct_at``
    is the same by the endpoint's own messages to this entry alone. ``heard_at`` is the time at
    which this entry received the announcement.
    """

    __slots__ = (
        "at",
        "connections",
        "direct_at",
        "domain",
        "heard_at",
        "incarnation",
        "leaving",
        "name",
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
        self.at = -inf
        self.direct_at = -inf
        self.heard_at = -inf

    def order(self):
        """Return the sort key of the announcements of one endpoint."""
        return (self.incarnation, self.seq)

    def is_live(self, now):
        """Return whether the endpoint may get new work."""
        return not self.leaving and now - self.at <= TTL_S

    def is_kept(self, now):
        """Return whether the endpoint must stay in the table."""
        return now - self.heard_at <= (TOMBSTONE_S if self.leaving else TTL_S)


def read_announcement(fields):
    """Return the endpoint in an announcement, a decoded JSON object.

    :raises BadRequestError: names the invalid field and what is allowed.
    """
    if not isinstance(fields, dict):
        raise BadRequestError("announcement: expected a JSON object")
    state = fields.get("state")
    if state not in STATES:
        raise BadRequestError(f"state = {state!r}: expected one of {', '.join(STATES)}")
    return Endpoint(
        name=_text(fields, "name", MAX_NAME),
        service=_text(fields, "service", MAX_NAME),
        domain=_text(fields, "domain", MAX_NAME),
        url=_url(fields),
        slots=_whole(fields, "slots", 1, MAX_SLOTS),
        connections=_whole(fields, "connections", 1, MAX_CONNECTIONS),
        incarnation=_whole(fields, "incarnation", 0, MAX_NUMBER),
        seq=_whole(fields, "seq", 0, MAX_NUMBER),
        leaving=state == "leaving",
    )


def read_age(fields, *, now):
    """Return the upper bound of an announcement's age in seconds; None without an echo.

    :param fields: with ``echo``, the ``clock`` in this entry's last answer, and ``held_s``, the
        seconds between the endpoint's receipt of that answer and its announcement.
    :raises BadRequestError: the echo is not a number or can't be a value of this entry's clock.
    """
    if "echo" not in fields:
        return None
    echo, held_s = fields["echo"], fields.get("held_s", 0)
    for value in (echo, held_s):
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise BadRequestError(f"echo, held_s = {echo!r}, {held_s!r}: expected numbers")
    age_s = now - echo - held_s / CLOCK_RATE
    if held_s < 0 or echo > now:
        raise BadRequestError("echo, held_s: expected values of this entry's last answer")
    return max(age_s, 0.0)


def _text(fields, key, limit):
    value = fields.get(key)
    if not isinstance(value, str) or not 1 <= len(value) <= limit or not value.isprintable():
        raise BadRequestError(f"{key}: expected 1 to {limit} printable characters")
    return value


def _whole(fields, key, least, most):
    value = fields.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise BadRequestError(f"{key} = {str(value)[:40]}: expected a whole number {least}..{most}")
    return value


def _url(fields):
    text = _text(fields, "url", MAX_URL)
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
        "_expired_at",
        "_names_by_service",
        "_seen_by_peer",
        "_sent_by_peer",
        "domain",
    )

    def __init__(self, *, domain):
        self.domain = domain
        self._by_name = {}
        self._drained = frozenset()
        self._names_by_service = {}
        self._seen_by_peer = {}
        self._sent_by_peer = {}
        self._expired_at = -inf

    def __len__(self):
        return len(self._by_name)

    def live(self, service, *, now):
        """Return the endpoints of a service in this domain that may get new work."""
        names = self._names_by_service.get(service, ())
        found = (self._by_name[name] for name in names if name not in self._drained)
        return [one for one in found if one.domain == self.domain and one.is_live(now)]

    def drain(self, names):
        """Replace the set of names of the endpoints that operators have drained."""
        self._drained = names

    def services(self, *, now):
        """Return the services with live endpoints in this domain."""
        return [service for service in self._names_by_service if self.live(service, now=now)]

    def announce(self, heard, *, age_s, now):
        """Record an announcement from the endpoint itself.

        :param age_s: upper bound of its age in seconds.
        :returns: whether it is the first news that the endpoint is leaving.
        :raises TableFullError: no space; nothing was changed.
        """
        heard.at = heard.direct_at = now - age_s
        return self._learn(heard, now)

    def merge(self, exchange, *, peer, now):
        """Record announcements relayed by another entry.

        :param peer: identity of the sending process; a restarted process has a new one.
        :returns: names of the endpoints that are leaving, if that is news.
        """
        self._seen_by_peer[peer] = max(exchange.sent_at, self._seen_by_peer.get(peer, 0.0))
        bounded = 0.0 < exchange.echo <= now
        left = []
        for message in exchange.announcements:
            heard = _from_message(message)
            if heard is None:
                continue
            if bounded:
                heard.at = now - (now - exchange.echo + max(message.age_s, 0.0)) * CLOCK_RATE
            elif not heard.leaving:
                continue
            try:
                if self._learn(heard, now):
                    left.append(heard.name)
            except TableFullError:
                continue
        return left

    def exchange_for(self, *, peer, domain, now):
        """Return the message that relays fresh direct announcements to another entry.

        Each announcement is relayed once to each incarnation of the other entry.

        :param peer: identity of the other process.
        :param domain: failure domain of the other entry; only its endpoints are relayed.
        """
        exchange = AnnounceExchange(sent_at=now, echo=self._seen_by_peer.get(peer, 0.0))
        before = self._sent_by_peer.get(peer, {})
        sent = self._sent_by_peer[peer] = {}
        for one in self._by_name.values():
            if one.domain != domain or now - one.direct_at > TTL_S:
                continue
            sent[one.name] = one.order()
            if before.get(one.name) != one.order():
                exchange.announcements.append(_to_message(one, now))
        return exchange

    def forget_peer(self, peer):
        """Drop the state kept for an incarnation of another entry that has ended."""
        self._seen_by_peer.pop(peer, None)
        self._sent_by_peer.pop(peer, None)

    def expire(self, *, now):
        """Drop the endpoints that need not be remembered any more.

        :returns: their names.
        """
        self._expired_at = now
        gone = [name for name, one in self._by_name.items() if not one.is_kept(now)]
        for name in gone:
            self._remove(self._by_name[name])
        return gone

    def _learn(self, heard, now):
        known = self._by_name.get(heard.name)
        if known is None:
            return self._insert(heard, now)
        if known.is_kept(now):
            if heard.order() < known.order():
                return False
            if heard.incarnation == known.incarnation and known.leaving and not heard.leaving:
                return False
            if heard.incarnation == known.incarnation:
                heard.at = max(heard.at, known.at)
                heard.direct_at = max(heard.direct_at, known.direct_at)
        left = heard.leaving and not (known.leaving and known.incarnation == heard.incarnation)
        self._remove(known)
        self._insert(heard, now)
        return left

    def _insert(self, heard, now):
        # Limited in rate during a flood of announcements, because it scans the whole table.
        if len(self._by_name) >= MAX_ENDPOINTS and now - self._expired_at >= EXPIRE_S:
            self.expire(now=now)
        if len(self._by_name) >= MAX_ENDPOINTS:
            raise TableFullError(f"announcements: {MAX_ENDPOINTS} endpoints are known already")
        heard.heard_at = now
        self._by_name[heard.name] = heard
        self._names_by_service.setdefault(heard.service, {})[heard.name] = True
        return heard.leaving

    def _remove(self, known):
        del self._by_name[known.name]
        names = self._names_by_service[known.service]
        del names[known.name]
        if not names:
            del self._names_by_service[known.service]


def _to_message(one, now):
    return Announcement(
        name=one.name,
        service=one.service,
        domain=one.domain,
        url=one.url,
        slots=one.slots,
        connections=one.connections,
        incarnation=one.incarnation,
        seq=one.seq,
        leaving=one.leaving,
        age_s=now - one.direct_at,
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
        return read_announcement(fields)
    except BadRequestError:
        return None
