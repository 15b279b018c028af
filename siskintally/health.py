"""Outlier ejection of the endpoints of one service, with back-off and probes.

Callers pass the current monotonic time as ``now``.

>>> from siskintally.health import HealthTable
>>> table = HealthTable()
>>> names = ["a", "b", "c", "d"]
>>> for _ in range(5):
...     table.record_result("a", ok=False, names=names, now=10.0)
>>> table.usable(names, now=10.5)
['b', 'c', 'd']
"""

# An endpoint is ejected after this many failures in a row, or when at least half of its results in
# a window failed, given at least 20 results.
CONSECUTIVE_FAILURES = 5
WINDOW_S = 10.0
WINDOW_MIN_RESULTS = 20
WINDOW_FAILURE_RATE = 0.5
MIN_EJECTION_BACKOFF_S = 1.0
MAX_EJECTION_BACKOFF_S = 60.0
# An endpoint that is ejected again within this time of its readmission gets twice the back-off.
RELAPSE_WINDOW_S = 60.0
MAX_EJECTED_RATIO = 0.3
# An unreachable endpoint gets no requests for this time, which doubles with each failed probe.
# MAX_EJECTED_RATIO doesn't apply: an unreachable endpoint serves nobody, while one that returns
# errors may fail because of the requests.
MIN_UNREACHABLE_BACKOFF_S = 0.1
MAX_UNREACHABLE_BACKOFF_S = 1.0


class _EndpointHealth:
    __slots__ = (
        "consecutive_failures",
        "ejected",
        "ejection_backoff_s",
        "excluded_until",
        "probing",
        "readmitted_at",
        "unreachable_backoff_s",
        "window_failures",
        "window_results",
        "window_start",
    )

    def __init__(self, *, now):
        self.consecutive_failures = 0
        self.window_results = 0
        self.window_failures = 0
        self.window_start = now
        self.ejected = False
        self.probing = False
        self.excluded_until = 0.0
        self.ejection_backoff_s = 0.0
        self.unreachable_backoff_s = 0.0
        self.readmitted_at = -RELAPSE_WINDOW_S

    def record_result(self, ok, now):
        if now - self.window_start > WINDOW_S:
            self.window_results = self.window_failures = 0
            self.window_start = now
        self.window_results += 1
        self.window_failures += not ok
        self.consecutive_failures = 0 if ok else self.consecutive_failures + 1

    def is_excluded(self):
        return self.ejected or self.unreachable_backoff_s > 0.0

    def record_unreachable(self, now):
        """Record that no connection could be made."""
        if self.unreachable_backoff_s and not self.probing:
            # The request was sent before the endpoint was marked as unreachable, so its failure is
            # no news and doesn't double the back-off.
            return
        doubled = min(self.unreachable_backoff_s * 2, MAX_UNREACHABLE_BACKOFF_S)
        self.unreachable_backoff_s = max(doubled, MIN_UNREACHABLE_BACKOFF_S)
        self.probing = False
        self.excluded_until = max(self.excluded_until, now + self.unreachable_backoff_s)

    def is_outlier(self):
        if self.consecutive_failures >= CONSECUTIVE_FAILURES:
            return True
        rate = self.window_failures / self.window_results if self.window_results else 0.0
        return self.window_results >= WINDOW_MIN_RESULTS and rate >= WINDOW_FAILURE_RATE

    def eject(self, now):
        relapsed = self.ejected or now - self.readmitted_at < RELAPSE_WINDOW_S
        self.ejection_backoff_s = (
            min(self.ejection_backoff_s * 2, MAX_EJECTION_BACKOFF_S)
            if relapsed
            else MIN_EJECTION_BACKOFF_S
        )
        self.ejection_backoff_s = max(self.ejection_backoff_s, MIN_EJECTION_BACKOFF_S)
        self.ejected = True
        self.probing = False
        self.excluded_until = now + self.ejection_backoff_s

    def readmit(self, now):
        self.ejected = self.probing = False
        self.unreachable_backoff_s = 0.0
        self.consecutive_failures = self.window_results = self.window_failures = 0
        self.window_start = self.readmitted_at = now


class HealthTable:
    """Health of the endpoints of one service.

    Each name stands for one incarnation of an endpoint.
    """

    __slots__ = ("_by_name",)

    def __init__(self):
        self._by_name = {}

    def usable(self, names, *, now):
        """Return the endpoints that may get a request, including those due for a probe."""
        return [name for name in names if self._is_usable(name, now)]

    def ejected(self, names):
        """Return the ejected endpoints."""
        return [name for name in names if self.is_ejected(name)]

    def is_suspect(self, name):
        """Return whether an endpoint is an outlier that the limit on ejections keeps in use."""
        health = self._by_name.get(name)
        return health is not None and not health.ejected and health.is_outlier()

    def is_ejected(self, name):
        """Return whether an endpoint is ejected."""
        health = self._by_name.get(name)
        return health is not None and health.ejected

    def needs_probe(self, name):
        """Return whether the next request to an endpoint would be a probe."""
        health = self._by_name.get(name)
        return health is not None and health.is_excluded()

    def record_send(self, name):
        """Record that a request is sent; to an ejected or unreachable endpoint it is a probe."""
        if self.needs_probe(name):
            self._by_name[name].probing = True

    def record_unreachable(self, name, *, now):
        """Record that no connection to an endpoint could be made.

        It gets no request until a probe is due, even if no other endpoint is left.
        """
        self._by_name.setdefault(name, _EndpointHealth(now=now)).record_unreachable(now)

    def record_no_result(self, name):
        """Record that a request ended without a result that says anything about its endpoint."""
        health = self._by_name.get(name)
        if health is not None:
            health.probing = False

    def record_result(self, name, *, ok, names, now):
        """Record the result of a request.

        :param names: all endpoints of the service; at most 30% of them are ejected at once.
        """
        health = self._by_name.get(name)
        if health is None:
            if ok:
                return
            health = self._by_name[name] = _EndpointHealth(now=now)
        if health.unreachable_backoff_s and not health.ejected:
            # Any response shows that the endpoint accepts connections again.
            health.unreachable_backoff_s = 0.0
            health.probing = False
            health.excluded_until = 0.0
        if health.ejected:
            # Results of requests sent before the ejection are ignored.
            if health.probing and ok:
                health.readmit(now)
            elif health.probing:
                health.eject(now)
            return
        health.record_result(ok, now)
        max_ejected = int(MAX_EJECTED_RATIO * len(names))
        if health.is_outlier() and len(self.ejected(names)) < max_ejected:
            health.eject(now)

    def retain(self, names):
        """Drop all endpoints except these."""
        for name in self._by_name.keys() - set(names):
            del self._by_name[name]

    def _is_usable(self, name, now):
        health = self._by_name.get(name)
        if health is None or not health.is_excluded():
            return True
        return now >= health.excluded_until and not health.probing
