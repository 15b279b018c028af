"""Configuration of a store's control group replica: timing, roster, and bootstrap state.

>>> from siskintally.control_group import GROUP_NAME
>>> GROUP_NAME
'control'
"""

from pathlib import Path

from siskintally.flow_timing import FlowTiming
from siskintally.group import Group
from siskintally.journal import bootstrap_replica
from siskintally.log import get_logger
from siskintally.messages import Identity
from siskintally.roster import OpenRoster
from siskintally.timing import Timing

GROUP_NAME = "control"
BOOTSTRAP_INCARNATION = "founding"
# Election timeout factor of a replica that has heard no leader since its start, or of a candidate
# that lost its election. In both cases there is no live leader to protect.
FIRST_TIMEOUT_FACTOR = 0.35
# Election timeout factor when the leader's process has exited. Greater than CONFIRMED_LEADER_SHARE,
# the share for which a confirmed leader may act, in case the leader is alive after all.
EXITED_LEADER_TIMEOUT_FACTOR = 0.6
# Delay between the candidacies of two voters. Longer than a vote round between regions (16 ms) plus
# the disk sync of a vote, so that candidates rarely split the votes.
VOTER_STAGGER_S = 0.1
# Time after its start in which a replica grants no votes. Together with the start of the process it
# is longer than a leader may act without its quorum.
STARTUP_VOTE_BLOCK_S = 0.25
# Silence after which a voter may be removed for its replacement; a shorter one may be a restart.
VOTER_REMOVAL_S = 2.0
HEARTBEAT_INTERVAL_S = 0.2

log = get_logger("control-group")


def flow_timing(settings):
    """Return the :class:`FlowTiming` that meets the platform's limits in the settings."""
    return FlowTiming.derive(
        lease_max_s=settings.lease_max_ms / 1000,
        thaw_s=settings.thaw_ms / 1000,
        contact_s=settings.contact_ms / 1000,
        status_s=settings.status_s,
    )


def create_group(settings, *, state_machine, contacts, send):
    """Return the control :class:`Group` replica of a store.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param state_machine: :class:`~siskintally.state_machine.StateMachine`.
    :param contacts: function that yields the link addresses of the other known stores.
    :param send: ``send(address, body) -> bool``; must not block.
    """
    election_min_s = flow_timing(settings).election_min_s
    return Group(
        name=GROUP_NAME,
        process=settings.link_address,
        bootstrap_members=(),
        roster=OpenRoster(
            contacts=contacts, tolerated=settings.tolerated, silence_s=VOTER_REMOVAL_S
        ),
        folder=_journal_folder(settings),
        state_machine=state_machine,
        send=send,
        timing=Timing(
            busy_heartbeat_s=HEARTBEAT_INTERVAL_S,
            idle_heartbeat_s=HEARTBEAT_INTERVAL_S,
            election_min_s=election_min_s,
            election_max_s=election_min_s * 1.6,
            first_timeout_factor=FIRST_TIMEOUT_FACTOR,
            exited_leader_timeout_factor=EXITED_LEADER_TIMEOUT_FACTOR,
            retry_timeout_factor=FIRST_TIMEOUT_FACTOR,
            stagger_s=VOTER_STAGGER_S,
            election_spread_s=VOTER_STAGGER_S / 2,
            startup_vote_block_s=STARTUP_VOTE_BLOCK_S,
        ),
        transfer_delay_s=float("inf"),
        sync_in_thread=True,
    )


def bootstrap_group(settings):
    """Write the bootstrap state at the first start of the cell; all seeds write the same state."""
    folder, voters = _journal_folder(settings), settings.seed_link_addresses()
    if not settings.founding or settings.link_address not in voters or folder.exists():
        return
    folder.parent.mkdir(parents=True, exist_ok=True)
    identities = tuple(Identity(name, BOOTSTRAP_INCARNATION) for name in sorted(voters))
    bootstrap_replica(
        folder,
        group=GROUP_NAME,
        name=settings.link_address,
        voters=identities,
        incarnation=BOOTSTRAP_INCARNATION,
    )
    log.info("group bootstrapped", voters=sorted(voters))


def _journal_folder(settings):
    return Path(settings.data) / "group-control"
