"""Model test of announcements under delay, reordering, pauses, and clocks that differ.

It checks that no stale endpoint is used. The model knows the true time at which each endpoint last
announced that it serves; the entries know only their own clocks. Announcements without an echo are
delivered at once, because their age is not bounded; all others may be delayed without limit,
repeated, and reordered.
"""

from os import environ
from random import Random

from siskintally.announcement import (
    ANNOUNCEMENT_TTL_S,
    MAX_CLOCK_RATE_RATIO,
    AnnouncementTable,
    parse_age,
    parse_announcement,
)

ENTRIES = ("e1", "e2")
ENDPOINTS = ("p1",)
# Rates of clocks differ by less than 1%.
RATES = {"e1": 1.0, "e2": 1.004, "p1": 0.996}
OFFSETS = {"e1": 1000.0, "e2": 70_000.0, "p1": 300.0}


class AnnouncementModel:
    """Model of two entries and an endpoint in one domain."""

    def __init__(self):
        self.time = 1.0
        self.tables = {name: AnnouncementTable(domain="d") for name in ENTRIES}
        self.run_by_entry = dict.fromkeys(ENTRIES, 0)
        self.incarnation = dict.fromkeys(ENDPOINTS, 1)
        self.seq = dict.fromkeys(ENDPOINTS, 0)
        self.leaving = dict.fromkeys(ENDPOINTS, False)
        self.served_at = {}
        self.echo_clocks_by_route = {}
        self.posts_in_flight = []
        self.exchanges_in_flight = []
        self.known_to_leave = set()
        self.gossip()

    def clock(self, name):
        """Return the monotonic clock of a process."""
        return OFFSETS[name] + self.time * RATES[name]

    def wait(self, seconds):
        """Let time pass."""
        self.time += seconds

    def announce(self, endpoint, entry):
        """Send an announcement of an endpoint to an entry."""
        self.seq[endpoint] += 1
        leaving = self.leaving[endpoint]
        if not leaving:
            self.served_at[endpoint, self.incarnation[endpoint]] = self.time
        fields = {
            "name": endpoint,
            "service": "s",
            "domain": "d",
            "url": "http://127.0.0.1:7301",
            "slots": 8,
            "connections": 64,
            "incarnation": self.incarnation[endpoint],
            "seq": self.seq[endpoint],
            "state": "leaving" if leaving else "serving",
        }
        echo_clocks = self.echo_clocks_by_route.get((endpoint, entry, self.run_by_entry[entry]))
        if echo_clocks is None:
            self.receive_post(endpoint, entry, fields)
        else:
            held_s = self.clock(endpoint) - echo_clocks[1]
            fields |= {"echo": echo_clocks[0], "held_s": held_s}
            self.posts_in_flight.append((endpoint, entry, self.run_by_entry[entry], fields))

    def receive_post(self, endpoint, entry, fields):
        """Handle an announcement as the gateway does."""
        now = self.clock(entry)
        age_s = parse_age(fields, now=now)
        announcement = parse_announcement(fields)
        self.tables[entry].record(announcement, age_s=age_s or 0.0, now=now)
        key = (endpoint, entry, self.run_by_entry[entry])
        self.echo_clocks_by_route[key] = (now, self.clock(endpoint))

    def deliver_post(self, number, duplicate):
        """Deliver one of the announcements in flight; with ``duplicate``, keep a copy of it."""
        if self.posts_in_flight:
            post = self.posts_in_flight[number % len(self.posts_in_flight)]
            if not duplicate:
                self.posts_in_flight.remove(post)
            endpoint, entry, run, fields = post
            if run == self.run_by_entry[entry]:
                self.receive_post(endpoint, entry, fields)

    def exchange(self, source, target):
        """Send an exchange message."""
        if source != target:
            peer = f"{target}/{self.run_by_entry[target]}"
            message = self.tables[source].build_exchange(
                peer=peer, domain="d", now=self.clock(source)
            )
            self.exchanges_in_flight.append(
                (source, self.run_by_entry[source], target, self.run_by_entry[target], message)
            )

    def deliver_exchange(self, number, duplicate):
        """Deliver one of the exchange messages in flight, as :meth:`deliver_post` does."""
        if self.exchanges_in_flight:
            item = self.exchanges_in_flight[number % len(self.exchanges_in_flight)]
            if not duplicate:
                self.exchanges_in_flight.remove(item)
            source, run, target, target_run, message = item
            if target_run == self.run_by_entry[target]:
                table = self.tables[target]
                table.merge_exchange(message, peer=f"{source}/{run}", now=self.clock(target))

    def gossip(self):
        """Exchange messages both ways without delay, so that both entries have a recent echo."""
        for source, target in (ENTRIES, ENTRIES[::-1]):
            self.exchange(source, target)
            *_, message = self.exchanges_in_flight.pop()
            peer = f"{source}/{self.run_by_entry[source]}"
            self.tables[target].merge_exchange(message, peer=peer, now=self.clock(target))

    def leave(self, endpoint):
        """Let an endpoint announce from now on that it leaves."""
        self.leaving[endpoint] = True

    def restart_endpoint(self, endpoint):
        """Start a new incarnation of an endpoint."""
        self.incarnation[endpoint] += 1
        self.leaving[endpoint] = False
        for key in [key for key in self.echo_clocks_by_route if key[0] == endpoint]:
            del self.echo_clocks_by_route[key]

    def restart_entry(self, entry):
        """Start an entry with an empty table."""
        self.run_by_entry[entry] += 1
        self.tables[entry] = AnnouncementTable(domain="d")

    def expire(self, entry):
        """Remove expired announcements from the table of an entry."""
        self.tables[entry].expire(now=self.clock(entry))

    def check_no_stale_endpoint_is_used(self):
        """Check I6: a used endpoint served in the last 3 s and is not known to leave."""
        for entry, table in self.tables.items():
            states = (
                (endpoint.name, endpoint.incarnation, endpoint.leaving)
                for endpoint in table._by_name.values()
            )
            self.known_to_leave |= {(table, *state[:2]) for state in states if state[2]}
            for endpoint in table.live("s", now=self.clock(entry)):
                served_at = self.served_at[endpoint.name, endpoint.incarnation]
                assert self.time - served_at <= ANNOUNCEMENT_TTL_S * MAX_CLOCK_RATE_RATIO
                key = (table, endpoint.name, endpoint.incarnation)
                assert key not in self.known_to_leave


WAITS_S = (0.1, 0.5, 0.5, 1.0, 2.0, 4.0, 30.0)
WEIGHT_BY_ACTION = {
    "wait": 20,
    "announce": 25,
    "exchange": 15,
    "deliver_post": 15,
    "deliver_exchange": 15,
    "gossip": 10,
    "leave": 2,
    "expire": 2,
    "restart_endpoint": 2,
    "restart_entry": 1,
}
WALKS = 1000
STEPS = 60


def apply_action(model, random, action):
    """Apply an action to the model with random arguments."""
    entry = random.choice(ENTRIES)
    endpoint = random.choice(ENDPOINTS)
    arguments = {
        "wait": lambda: {"seconds": random.choice(WAITS_S)},
        "announce": lambda: {"endpoint": endpoint, "entry": entry},
        "exchange": lambda: {"source": entry, "target": random.choice(ENTRIES)},
        "deliver_post": lambda: {
            "number": random.randrange(99),
            "duplicate": random.random() < 0.2,
        },
        "deliver_exchange": lambda: {
            "number": random.randrange(99),
            "duplicate": random.random() < 0.2,
        },
        "gossip": dict,
        "leave": lambda: {"endpoint": endpoint},
        "expire": lambda: {"entry": entry},
        "restart_endpoint": lambda: {"endpoint": endpoint},
        "restart_entry": lambda: {"entry": entry},
    }
    getattr(model, action)(**arguments[action]())


def test_no_stale_endpoint_is_used():
    seed = int(environ.get("SISKINTALLY_SEED", "1"))
    print(f"SISKINTALLY_SEED={seed}")
    random = Random(seed)
    actions, weights = zip(*WEIGHT_BY_ACTION.items(), strict=True)
    for _ in range(WALKS):
        model = AnnouncementModel()
        for action in random.choices(actions, weights, k=STEPS):
            apply_action(model, random, action)
            model.check_no_stale_endpoint_is_used()
