"""Commands for tests of the cell state machine."""

from hashlib import sha256
from json import loads

from siskintally.cell_state_pb2 import (
    CancelJobs,
    Command,
    ConfirmIdle,
    GroupInfo,
    LoseGroups,
    RestoreGroup,
    SetConfig,
    SetDrain,
    SetPreset,
    SubmitJob,
)
from siskintally.spec import parse_spec
from siskintally.wire_pb2 import DomainCapacity, JobProgress, JobReport, OperatorReply, Resources

DOCUMENT = "[teams.ski]\ncpu_milli = 100000\nmemory_mb = 100000\n"
NAMES = ("fjeld-a", "jylland-a", "sjaelland-a")


def group(name, *, free=32, largest=32, workers=8, silent_s=0.0):
    def cores(number):
        return Resources(cpu_milli=number * 1000, memory_mb=number * 4000)

    capacity = DomainCapacity()
    if workers:
        capacity = DomainCapacity(
            total=cores(32 * 8), free=cores(free), largest=cores(largest), workers=workers
        )
    return GroupInfo(name=name, domains=[name], capacity=capacity, silent_s=silent_s)


class Driver:
    """Applies commands to a cell with increasing log indexes."""

    __slots__ = ("at", "cell", "groups", "index", "log")

    def __init__(self, cell):
        self.cell = cell
        self.index = 0
        self.at = 1000.0
        self.groups = [group(name) for name in NAMES]
        self.log = []

    def apply_command(self, command):
        """Apply a Command and return the reply bytes."""
        self.index += 1
        data = command.SerializeToString()
        self.log.append((self.index, data))
        return self.cell.apply(index=self.index, command=data)

    def change(self, change, *, request_id=None, operator="ana"):
        """Return (code, answer) of an operator change."""
        field = {
            SetConfig: "set_config",
            SetPreset: "set_preset",
            SubmitJob: "submit_job",
            CancelJobs: "cancel_jobs",
            SetDrain: "set_drain",
            LoseGroups: "lose_groups",
            RestoreGroup: "restore_group",
        }[type(change)]
        command = Command(
            at=self.at,
            request_id=request_id or f"r{self.index}",
            operator=operator,
            digest=sha256(operator.encode() + change.SerializeToString()).digest(),
            groups=self.groups,
            **{field: change},
        )
        reply = OperatorReply.FromString(self.apply_command(command))
        return reply.code, loads(reply.answer)

    def configure(self, document=DOCUMENT):
        """Set a configuration, expecting the present version."""
        version = self.cell.config_state.version
        return self.change(SetConfig(document=document, expect_version=version))

    def submit(self, **fields):
        """Submit a job given by the keys of a job file."""
        fields = {"name": "job", "team": "ski", "kind": "batch", "cpu_milli": 1000, **fields}
        return self.change(SubmitJob(spec=parse_spec(fields)))

    def lose(self, *names, force=True):
        """Declare domain groups lost."""
        return self.change(LoseGroups(groups=names, force=force))

    def restore(self, name):
        """Declare that a lost domain group may get work again."""
        return self.change(RestoreGroup(group=name))

    def confirm_idle(self, name, epoch=1):
        """Confirm for a domain group that nothing runs there."""
        self.apply_command(Command(at=self.at, confirm_idle=ConfirmIdle(group=name, epoch=epoch)))

    def report(self, group_name, job_id, epoch=0, **progress):
        """Report progress of one job."""
        rows = [JobProgress(job_id=job_id, **progress)]
        report = JobReport(group=group_name, jobs=rows, epoch=epoch)
        self.apply_command(Command(at=self.at, groups=self.groups, job_report=report))
