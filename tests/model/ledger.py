"""Specification of the ledger: attempts of entries for one key, late and repeated messages.

Every attempt follows section 3.3 of the design and can crash, give up or resend at any moment; a
crash of an entry is a crash of its attempts. The network is unordered; a message that is never
delivered is lost. The clock does not advance, so that nothing expires.
"""

from sys import intern
from typing import NamedTuple

from siskintally.ledger import Ledger
from siskintally.wire_pb2 import (
    LedgerBegin,
    LedgerBeginReply,
    LedgerFinish,
    LedgerRelease,
    StoredAnswer,
)
from tests.model.search import Spec, Table

NOW = 0.0
NOT_RUN = "not run"
UNKNOWN = "unknown"
_Verdict = LedgerBeginReply.Verdict


class State(NamedTuple):
    """Number of the ledger state, attempts, messages in flight, and what was observed.

    ``phases``: phase of each attempt. ``results``: result that the caller of each attempt received.
    ``executed``: attempts in the order in which the endpoint ran them. ``granted``: attempts to
    which the ledger granted the key. ``released``: attempts whose release the ledger applied.
    """

    ledger: int
    phases: tuple
    network: frozenset
    results: tuple
    repeats: int
    resends: int
    executed: tuple = ()
    granted: frozenset = frozenset()
    released: frozenset = frozenset()
    violation: str = ""

    def move(self, attempt, phase, *, result=None, send=()):
        """Return the state after an attempt has changed its phase."""
        return self._replace(
            phases=(*self.phases[:attempt], phase, *self.phases[attempt + 1 :]),
            results=(
                *self.results[:attempt],
                result or self.results[attempt],
                *self.results[attempt + 1 :],
            ),
            network=self.network | set(send),
        ).pruned()

    def pruned(self):
        """Return the state without replies that their attempt will ignore from now on."""
        dead = {message for message in self.network if _is_dead(message, self.phases)}
        return self._replace(network=self.network - dead) if dead else self


class LedgerSpec(Spec):
    """One key, several attempts.

    :param attempts: number of attempts.
    :param repeats: number of messages that are delivered twice.
    :param resends: number of messages that an attempt sends again.
    :param conflict: whether the last attempt has another digest.
    :param ledger_class: real class, or a mutant of it.
    """

    __slots__ = ("_attempts", "_conflict", "_ledger_class", "_ledgers", "_memo", "_resends")
    __slots__ += ("_repeats",)

    def __init__(self, *, name, attempts, repeats, resends, conflict=False, ledger_class=Ledger):
        super().__init__(
            name=name,
            bounds=f"1 key, {attempts} attempts{', 1 with another digest' if conflict else ''}, "
            f"{repeats} repeated deliveries, {resends} resends, any crash, any snapshot",
        )
        self._attempts = attempts
        self._repeats = repeats
        self._resends = resends
        self._conflict = conflict
        self._ledger_class = ledger_class
        self._ledgers = Table()
        self._memo = {}

    def initial(self):
        """Return the state without any attempt."""
        ledger = self._ledger_class()
        return [
            State(
                ledger=self._ledgers.put(ledger.key(), ledger),
                phases=("idle",) * self._attempts,
                network=frozenset(),
                results=("",) * self._attempts,
                repeats=self._repeats,
                resends=self._resends,
            )
        ]

    def violation(self, state):
        """Return the violation that the last step made."""
        return state.violation

    def steps(self, state):
        """Yield deliveries, steps of the attempts, and a snapshot of the ledger."""
        for message in state.network:
            label = intern(f"deliver {' '.join(map(str, message))}")
            without = state._replace(network=state.network - {message})
            yield label, self._check(self._deliver(without, message))
            # A stream delivers a request to an endpoint, and the answer, only once.
            if state.repeats and message[0] not in ("request", "answer"):
                repeated = state._replace(repeats=state.repeats - 1)
                yield intern(f"{label} (a copy)"), self._check(self._deliver(repeated, message))
        for attempt, phase in enumerate(state.phases):
            for label, successor in _attempt_steps(state, attempt, phase):
                yield intern(f"attempt {attempt} {label}"), self._check(successor)
        restored = self._ledger_step(state.ledger, ("restore", 0))[0]
        if restored != state.ledger:
            yield "snapshot and restore", state._replace(ledger=restored)

    def _deliver(self, state, message):
        kind, attempt = message[:2]
        if kind in ("begin", "finish", "unsure", "release"):
            return self._deliver_to_ledger(state, message)
        phase = state.phases[attempt]
        if kind == "request":
            executed = (*state.executed, attempt)
            network = state.network | {("answer", attempt)}
            return state._replace(executed=executed, network=network).pruned()
        if kind == "answer":
            return state.move(attempt, "answered", send=[("finish", attempt)])
        if kind == "verdict":
            return _on_verdict(state, attempt, *message[2:])
        result = f"answer {attempt}" if phase == "answered" else None
        return state.move(attempt, "over", result=result)

    def _deliver_to_ledger(self, state, message):
        kind, attempt = message
        ledger, reply = self._ledger_step(state.ledger, message)
        state = state._replace(ledger=ledger, network=state.network | {reply}).pruned()
        if kind == "release":
            return state._replace(
                released=state.released | {attempt}, granted=state.granted - {attempt}
            )
        return _check_verdict(state, reply) if kind == "begin" else state

    def _ledger_step(self, number, message):
        memo_key = (number, message)
        if memo_key not in self._memo:
            ledger = self._ledger_class()
            ledger.restore(Ledger.snapshot(self._ledgers[number]))
            reply = self._apply(ledger, message)
            self._memo[memo_key] = (self._ledgers.put(ledger.key(), ledger), reply)
        return self._memo[memo_key]

    def _apply(self, ledger, message):
        kind, attempt = message
        name = f"attempt-{attempt}"
        if kind == "restore":
            ledger.restore(ledger.snapshot())
            return None
        if kind == "begin":
            conflicts = self._conflict and attempt == self._attempts - 1
            digest = b"other" if conflicts else b"digest"
            begin = LedgerBegin(key="k", caller="shop", digest=digest, attempt=name)
            reply = ledger.begin(begin, NOW)
            return ("verdict", attempt, _Verdict.Name(reply.verdict), reply.answer.body.decode())
        if kind == "release":
            ledger.release(LedgerRelease(key="k", attempt=name), NOW)
        else:
            finish = LedgerFinish(key="k", attempt=name, unknown=kind == "unsure")
            if kind == "finish":
                finish.answer.CopyFrom(StoredAnswer(body=f"answer {attempt}".encode()))
            ledger.finish(finish, NOW)
        return ("done", attempt, kind)

    def _check(self, state):
        if state.violation:
            return state
        if len(state.executed) > 1:
            return state._replace(violation=f"attempts {state.executed} were both executed")
        for attempt, result in enumerate(state.results):
            if result == NOT_RUN and attempt in state.executed:
                return state._replace(violation=f"attempt {attempt} told not run, but executed")
            if result.startswith("answer") and result != f"answer {state.executed[0]}":
                return state._replace(violation=f"attempt {attempt} told {result}")
        return state


_ACKNOWLEDGED = {("finish", "answered"), ("unsure", "unsure"), ("release", "releasing")}
_RESENT = {"asked": "begin", "answered": "finish", "unsure": "unsure", "releasing": "release"}


def _is_dead(message, phases):
    kind, attempt = message[:2]
    expected = {"verdict": "asked", "answer": "sent"}.get(kind)
    if kind == "done":
        return (message[2], phases[attempt]) not in _ACKNOWLEDGED
    return expected is not None and phases[attempt] != expected


def _attempt_steps(state, attempt, phase):
    """Yield the steps of an attempt that need no message."""
    if phase == "idle":
        # Attempts are numbered in the order in which they begin.
        if attempt and state.phases[attempt - 1] == "idle":
            return
        yield "begins", state.move(attempt, "asked", send=[("begin", attempt)])
        return
    if phase in ("over", "crashed"):
        return
    yield "crashes", state.move(attempt, "crashed")
    resent = _RESENT.get(phase)
    if resent and state.resends and (resent, attempt) not in state.network:
        again = state._replace(resends=state.resends - 1)
        yield f"resends {resent}", again.move(attempt, phase, send=[(resent, attempt)])
    if phase == "asked":
        release = [("release", attempt)]
        yield "times out", state.move(attempt, "releasing", result=NOT_RUN, send=release)
        unsure = [("unsure", attempt)]
        yield "gives up as unknown", state.move(attempt, "unsure", result=UNKNOWN, send=unsure)
    elif phase == "granted":
        yield "dispatches", state.move(attempt, "sent", send=[("request", attempt)])
        release = [("release", attempt)]
        yield "cannot send", state.move(attempt, "releasing", result=NOT_RUN, send=release)
    elif phase == "sent":
        unsure = [("unsure", attempt)]
        yield "loses its endpoint", state.move(attempt, "unsure", result=UNKNOWN, send=unsure)


def _on_verdict(state, attempt, verdict, answer):
    if verdict == "GRANTED":
        return state.move(attempt, "granted")
    result_by_verdict = {"REPLAYED": answer, "RELEASED": NOT_RUN, "UNKNOWN": UNKNOWN}
    return state.move(attempt, "over", result=result_by_verdict.get(verdict, verdict))


def _check_verdict(state, reply):
    _, attempt, verdict, answer = reply
    answers = {result for result in state.results if result.startswith("answer")}
    if answers and verdict not in ("RELEASED", "CONFLICT") and answer not in answers:
        return state._replace(violation=f"{answers} was told, but the ledger answers {verdict}")
    if verdict != "GRANTED":
        return state
    if attempt in state.released:
        return state._replace(violation=f"released attempt {attempt} is granted again")
    if state.granted - {attempt}:
        return state._replace(violation=f"granted to {attempt} besides {sorted(state.granted)}")
    return state._replace(granted=state.granted | {attempt})
