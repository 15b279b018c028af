"""Leases of workers: a former leader's grants end within the wait of the next leader."""

from hypothesis import given
from hypothesis import strategies as st

from siskintally.worker_lease import MIN_CLOCK_RATE, WorkerLease, longest_grant_s

LENGTH_S = 4.0
MARGIN_S = 0.4
# Error of a sum of floating-point times, s.
ROUNDING_S = 1e-6

POLLS = st.lists(
    st.tuples(
        # Time between polls, wait of the worker before it reads its clock, time of the reply.
        st.floats(0.0, 30.0),
        st.floats(0.0, 2.0),
        st.floats(0.0, 0.5),
    ),
    min_size=1,
    max_size=20,
)


class WorkerClock:
    """Steady clock of a worker that runs at ``rate`` relative to true time."""

    def __init__(self, rate):
        self.rate = rate

    def read_ms(self, now):
        """Return the reading at a true time in seconds, ms."""
        return int(5_000 + now * self.rate * 1000)

    def true_time(self, clock_ms):
        """Return the true time of a reading, s."""
        return (clock_ms - 5_000) / 1000 / self.rate


@given(polls=POLLS, rate=st.floats(MIN_CLOCK_RATE, 1.0))
def test_grants_of_a_former_leader_end_within_the_wait_of_the_next_one(polls, rate):
    """Guards against a run that goes on while the next leader starts its task elsewhere.

    A reading of the worker's clock arrives up to the wait of a poll after the poll was sent.
    """
    clock = WorkerClock(rate)
    lease = WorkerLease(length_s=LENGTH_S, margin_s=MARGIN_S)
    now = 10.0
    for pause_s, wait_s, reply_s in polls:
        now += pause_s
        if lease.has_clock_sample:
            ends_at = clock.true_time(lease.grant(now))
            next_leader_starts_at = now + longest_grant_s(LENGTH_S, MARGIN_S)
            assert ends_at + MARGIN_S <= next_leader_starts_at + ROUNDING_S
            assert ends_at + MARGIN_S <= lease.expired_by + ROUNDING_S
        reading_ms = clock.read_ms(now + wait_s)
        now += wait_s + reply_s
        lease.sample_clock(clock_ms=reading_ms, received_at=now)


def test_a_grant_after_a_long_poll_lasts_its_length():
    """Guards against a lease that is shortened by the wait of the poll before it."""
    clock = WorkerClock(1.0)
    lease = WorkerLease(length_s=LENGTH_S, margin_s=MARGIN_S)
    lease.sample_clock(clock_ms=clock.read_ms(11.2), received_at=11.21)
    assert clock.true_time(lease.grant(11.21)) - 11.21 >= LENGTH_S - 0.02
