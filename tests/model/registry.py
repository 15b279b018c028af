"""Specifications for CI, specifications with larger bounds, and mutants."""

from tests.model.config import ConfigSpec
from tests.model.consensus import Budget, Consensus
from tests.model.ledger import LedgerSpec
from tests.model.mutants import (
    CellAcceptingPreviousVersion,
    CellWithoutSnapshotReplies,
    LearnerCountingReplica,
    LeaseTableIgnoringEarlierOwner,
    LeaseTableWithoutDriftMargin,
    LedgerFinishedByAnyAttempt,
    LedgerReleasingUnknownOutcomes,
    LedgerWithoutSnapshotRecords,
    LedgerWithoutTombstones,
    ReplicaCountingEarlierReplies,
    WaitersMatchingIndexAlone,
)
from tests.model.ownership import Budget as LeaseBudget
from tests.model.ownership import OwnershipSpec

# A former leader hears of the entry that replaces its own, and of its commit, in one batch.
CALLS_BUDGET = Budget(elect=1, propose=1, beat=1, batch=1)


class Mutant:
    """A seeded fault.

    :param name: description of the fault.
    :param build: function that returns the specification with the fault.
    """

    __slots__ = ("build", "name")

    def __init__(self, *, name, build):
        self.name = name
        self.build = build


def ci_specs():
    """Yield the specifications that CI searches completely."""
    yield Consensus(name="elections", budget=Budget(elect=2, propose=1))
    yield Consensus(name="elections-crash", budget=Budget(elect=2, crash=1))
    yield Consensus(name="elections-repeat", budget=Budget(elect=2, repeat=1))
    yield Consensus(name="pre-vote", budget=Budget(elect=1, crash=1), pre_vote=True)
    yield Consensus(name="lost-disk", budget=Budget(elect=2, wipe=1))
    yield Consensus(name="replacement", budget=Budget(elect=1, wipe=1, change=3), led=True)
    yield Consensus(
        name="snapshot-transfer",
        budget=Budget(elect=1, wipe=1, change=1, compact=1, repeat=1),
        led=True,
    )
    yield Consensus(name="learner", budget=Budget(elect=1, propose=1), learner=True, led=True)
    yield Consensus(name="commands", budget=Budget(elect=1, propose=1, crash=1), led=True)
    yield Consensus(name="calls", budget=CALLS_BUDGET, led=True)
    yield Consensus(name="reads", budget=Budget(elect=1, read=1, crash=1), led=True)
    yield Consensus(name="reads-lazy", budget=Budget(elect=1, lazy=1, beat=1), led=True)
    yield LedgerSpec(name="ledger-repeat", attempts=2, repeats=1, resends=1)
    yield LedgerSpec(name="ledger-conflict", attempts=2, repeats=1, resends=1, conflict=True)
    yield LedgerSpec(name="ledger", attempts=3, repeats=0, resends=0)
    yield ConfigSpec(name="config", repeats=1, feeds=2, polls=2, restarts=1)
    yield OwnershipSpec(name="lease", budget=LeaseBudget(beat=2, connect=1, elect=1, wait=2))
    yield OwnershipSpec(
        name="lease-reconnect", budget=LeaseBudget(beat=1, connect=2, elect=1, wait=2)
    )


def large_specs():
    """Yield the specifications with larger bounds."""
    yield Consensus(name="elections-large", budget=Budget(elect=2, propose=1, crash=1))
    yield Consensus(
        name="commands-large", budget=Budget(elect=1, propose=2, crash=1, wipe=1), led=True
    )
    yield Consensus(
        name="snapshot-transfer-large",
        budget=Budget(elect=1, wipe=1, propose=1, change=1, compact=1),
        led=True,
    )
    yield Consensus(name="three-elections", budget=Budget(elect=3))
    yield Consensus(name="reads-large", budget=Budget(elect=1, read=2, repeat=1), led=True)
    yield LedgerSpec(name="ledger-large", attempts=3, repeats=1, resends=0)
    yield OwnershipSpec(name="lease-large", budget=LeaseBudget(beat=2, connect=1, elect=1, wait=3))
    yield OwnershipSpec(
        name="lease-three-owners", budget=LeaseBudget(beat=1, connect=2, elect=2, wait=2)
    )
    yield ConfigSpec(name="config-large", repeats=2, feeds=3, polls=3, restarts=1, entries=2)


def mutants():
    """Yield the seeded faults."""
    yield Mutant(
        name="vote with an empty disk",
        build=lambda: Consensus(
            name="lost-disk", budget=Budget(elect=2, wipe=1), reuse_identity=True
        ),
    )
    yield Mutant(
        name="acknowledge before sync",
        build=lambda: Consensus(
            name="elections-crash", budget=Budget(elect=2, crash=1), early_send=True
        ),
    )
    yield Mutant(
        name="count a learner",
        build=lambda: Consensus(
            name="learner",
            budget=Budget(elect=1, propose=1),
            learner=True,
            led=True,
            replica_class=LearnerCountingReplica,
        ),
    )
    yield Mutant(
        name="confirm a read round by an answer to an earlier message",
        build=lambda: Consensus(
            name="reads",
            budget=Budget(elect=1, read=1, beat=1),
            led=True,
            replica_class=ReplicaCountingEarlierReplies,
        ),
    )
    yield Mutant(
        name="complete a proposal by the index of its entry alone",
        build=lambda: Consensus(
            name="calls",
            budget=CALLS_BUDGET,
            led=True,
            waiters_class=WaitersMatchingIndexAlone,
        ),
    )
    yield from ledger_mutants()
    yield from lease_mutants()
    for name, cell_class in {
        "accept an equal version twice": CellAcceptingPreviousVersion,
        "drop the stored responses of operators at a snapshot": CellWithoutSnapshotReplies,
    }.items():
        yield Mutant(
            name=name,
            build=lambda cell_class=cell_class: ConfigSpec(
                name="config", repeats=1, feeds=2, polls=2, restarts=1, cell_class=cell_class
            ),
        )


def lease_mutants():
    """Yield the seeded faults of leases."""
    budget = LeaseBudget(beat=1, connect=2, elect=1, wait=2)
    for name, options in {
        "grant before the old lease has ended: no room for clock drift": {
            "table_class": LeaseTableWithoutDriftMargin
        },
        "grant before the old lease has ended: leases of the earlier owner ignored": {
            "table_class": LeaseTableIgnoringEarlierOwner
        },
        "acknowledge a heartbeat without a quorum round": {"trust_all_rounds": True},
        "take orders of an owner of a lower term": {"trust_all_terms": True},
    }.items():
        yield Mutant(
            name=name,
            build=lambda options=options: OwnershipSpec(name="lease", budget=budget, **options),
        )


def ledger_mutants():
    """Yield the seeded faults of the ledger."""
    named = {
        "drop the resend record at a snapshot": LedgerWithoutSnapshotRecords,
        "accept a finish from another attempt": LedgerFinishedByAnyAttempt,
        "grant a released attempt again": LedgerWithoutTombstones,
        "grant a key of unknown outcome again": LedgerReleasingUnknownOutcomes,
    }
    for name, ledger_class in named.items():
        yield Mutant(
            name=name,
            build=lambda ledger_class=ledger_class: LedgerSpec(
                name="ledger-repeat", attempts=2, repeats=1, resends=1, ledger_class=ledger_class
            ),
        )
