"""Specification of worker leases: a task on worker w1 that owners may move to worker w2.

The lease table and the lease holder are the real ones. Owners and w1 take steps at any time or not
at all, which covers pauses; links keep the order of messages and may delay them without bound. Two
properties of consensus that ``consensus.py`` checks are assumed: an owner that has lost leadership
commits nothing, and its rounds that began after the election of a newer owner are never confirmed.
A worker stops its tasks at the moment its lease expires by its own clock. Worker w2 starts the task
at the moment the loss of w1 is committed and never ends it: this overlaps with w1 whenever a later
start would.
"""

from copy import deepcopy
from sys import intern
from typing import NamedTuple

from siskintally.lease import LeaseHolder, LeaseTable
from tests.model.search import Spec, Table

LEASE_S = 100.0
STEP_S = 40.0
WORKER = "w1"
ATTEMPT = 1


class Budget(NamedTuple):
    """How many steps of each kind may still be taken.

    ``next_heartbeat``: heartbeats of w1. ``wait``: steps in which time passes.
    """

    beat: int
    connect: int
    elect: int
    wait: int


class Owner(NamedTuple):
    """Number of the lease table, and the heartbeats whose quorum rounds can succeed."""

    table: int
    rounds: frozenset = frozenset()


class State(NamedTuple):
    """Global time, clock rates of worker and owners, and the state of w1 and of the owners.

    ``holder``: number of the lease holder. ``link``: term of the owner to which w1 is connected.
    ``heartbeats``, ``orders``: messages on that link, oldest first. ``started``: whether w1 has
    received the attempt. ``loss_term``: term of the owner that committed the loss of w1, or 0.
    """

    now: float
    rates: tuple
    budget: Budget
    owners: tuple
    holder: int
    link: int = 1
    heartbeats: tuple = ()
    orders: tuple = ()
    started: bool = False
    running: bool = False
    loss_term: int = 0


class OwnershipSpec(Spec):
    """One task, one lease, owners of successive terms.

    :param table_class: real class, or a mutant of it.
    :param trust_all_rounds: mutant; heartbeats are acknowledged without a quorum.
    :param trust_all_terms: mutant; w1 takes orders of owners that were replaced.
    :param rates: (worker, owner) clock rates.
    """

    __slots__ = ("_budget", "_holders", "_memo", "_rates", "_table_class", "_tables")
    __slots__ += ("_trust_all_rounds", "_trust_all_terms")

    def __init__(
        self,
        *,
        name,
        budget,
        rates=((0.995, 1.005), (1.005, 0.995)),
        table_class=LeaseTable,
        trust_all_rounds=False,
        trust_all_terms=False,
    ):
        bounds = ", ".join(f"{key} {value}" for key, value in budget._asdict().items())
        super().__init__(name=name, bounds=f"1 task, clock rates {rates}, {bounds}")
        self._budget = budget
        self._rates = rates
        self._table_class = table_class
        self._trust_all_rounds = trust_all_rounds
        self._trust_all_terms = trust_all_terms
        self._tables = Table()
        self._holders = Table()
        self._memo = {}

    def initial(self):
        """Return w1 with a new lease of the first owner, before and after the start of the task."""
        table = self._new_table(0.0)
        holder = LeaseHolder(lease_s=LEASE_S)
        seq = holder.next_heartbeat(now=0.0)
        holder.renew(seq, term=1)
        table.record_heartbeat(WORKER, seq, now=0.0)
        table.renew(WORKER, seq)
        holder_number = self._holders.put(holder.key(), holder)
        owners = (Owner(self._tables.put(table.key(), table)),)
        for rates in self._rates:
            for started in (False, True):
                first = State(0.0, rates, self._budget, owners, holder_number)
                yield first._replace(started=started, running=started)

    def _new_table(self, now):
        table = self._table_class(lease_s=LEASE_S, elected_at=now)
        table.add_worker(WORKER)
        return table

    def violation(self, state):
        """Return the violation if the task runs on both workers."""
        return "w1 runs the task while w2 runs it" if state.running and state.loss_term else ""

    def steps(self, state):
        """Yield steps of w1 and the owners, elections, and the passing of time."""
        yield from self._worker_steps(state)
        for term in range(1, len(state.owners) + 1):
            yield from self._owner_steps(state, term)
        if state.budget.elect:
            table = self._new_table(_owner_time(state))
            owners = (*state.owners, Owner(self._tables.put(table.key(), table)))
            yield f"owner {len(owners)} is elected", _spend(state, "elect")._replace(owners=owners)
        if state.budget.wait:
            for until in sorted(self._next_instants(state)):
                yield intern(f"time passes to {until:.1f} s"), self._wait(state, until)

    def _worker_steps(self, state):
        if state.budget.beat:
            holder, seq = self._call_holder(state.holder, "next_heartbeat", now=_worker_time(state))
            sent = _spend(state, "beat")._replace(
                holder=holder, heartbeats=(*state.heartbeats, seq)
            )
            yield intern(f"w1 sends heartbeat {seq}"), sent
        if state.budget.connect:
            holder, _ = self._call_holder(state.holder, "reset")
            lost = _spend(state, "connect")._replace(holder=holder, heartbeats=(), orders=())
            for term in range(1, len(state.owners) + 1):
                yield f"w1 connects to owner {term}", lost._replace(link=term)
        if state.orders:
            kind, seq = state.orders[0]
            remaining = state._replace(orders=state.orders[1:])
            yield intern(f"w1 receives {kind} {seq}"), self._receive_order(remaining, kind, seq)

    def _receive_order(self, state, kind, seq):
        if kind == "answer":
            term = 1 if self._trust_all_terms else state.link
            holder, _ = self._call_holder(state.holder, "renew", seq, term=term)
            return state._replace(holder=holder)
        holder = self._holders[state.holder]
        if state.started or state.link < holder.term or holder.is_expired(_worker_time(state)):
            return state
        return state._replace(started=True, running=True)

    def _owner_steps(self, state, term):
        owner = state.owners[term - 1]
        is_newest = term == len(state.owners)
        if state.heartbeats and state.link == term:
            seq = state.heartbeats[0]
            now = _owner_time(state)
            table, _ = self._call_table(owner.table, "record_heartbeat", WORKER, seq, now=now)
            succeeds = is_newest or self._trust_all_rounds
            after = Owner(table, owner.rounds | ({seq} if succeeds else set()))
            label = intern(f"owner {term} receives heartbeat {seq}")
            yield label, _set_owner(state._replace(heartbeats=state.heartbeats[1:]), term, after)
        for seq in owner.rounds:
            table, is_known = self._call_table(owner.table, "renew", WORKER, seq)
            after = _set_owner(state, term, Owner(table, owner.rounds - {seq}))
            if is_known and state.link == term:
                after = after._replace(orders=(*state.orders, ("answer", seq)))
            yield intern(f"owner {term} answers heartbeat {seq}"), after
        yield from self._order_steps(state, term)
        is_lost = self._tables[owner.table].lost_at(WORKER) <= _owner_time(state)
        if is_newest and is_lost and not state.loss_term:
            yield f"owner {term} commits the loss of w1", state._replace(loss_term=term)

    def _order_steps(self, state, term):
        # An owner that was replaced before the loss was committed never learns of the loss.
        assumes_alive = not state.loss_term or term < state.loss_term
        is_sent = state.started or ("start", ATTEMPT) in state.orders
        if state.link == term and assumes_alive and not is_sent:
            orders = (*state.orders, ("start", ATTEMPT))
            yield f"owner {term} sends the start order", state._replace(orders=orders)

    def _next_instants(self, state):
        """Return the next instants at which something can change."""
        yield round(state.now + STEP_S, 6)
        for owner in state.owners:
            at = round(self._tables[owner.table].lost_at(WORKER) / state.rates[1] + 1e-6, 6)
            if at > state.now:
                yield at

    def _wait(self, state, until):
        state = _spend(state, "wait")._replace(now=until)
        expired = self._holders[state.holder].is_expired(_worker_time(state))
        return state._replace(running=state.running and not expired)

    def _call_holder(self, number, method, *arguments, **options):
        return self._call(self._holders, number, method, arguments, options)

    def _call_table(self, number, method, *arguments, **options):
        return self._call(self._tables, number, method, arguments, options)

    def _call(self, table, number, method, arguments, options):
        """Call a method on a copy and return the number of the new state and the result."""
        memo_key = (id(table), number, method, arguments, tuple(options.items()))
        if memo_key not in self._memo:
            copy = deepcopy(table[number])
            result = getattr(copy, method)(*arguments, **options)
            self._memo[memo_key] = (table.put(copy.key(), copy), result)
        return self._memo[memo_key]


def _spend(state, kind):
    budget = state.budget
    return state._replace(budget=budget._replace(**{kind: getattr(budget, kind) - 1}))


def _set_owner(state, term, owner):
    return state._replace(owners=(*state.owners[: term - 1], owner, *state.owners[term:]))


def _worker_time(state):
    return round(state.now * state.rates[0], 6)


def _owner_time(state):
    return round(state.now * state.rates[1], 6)
