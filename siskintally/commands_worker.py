"""Command ``stub-worker``: runs stub workers, for tests.

>>> from siskintally.command import Registry
>>> from siskintally.commands_worker import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['stub-worker']
"""

from absl.flags import (
    DEFINE_boolean,
    DEFINE_enum,
    DEFINE_float,
    DEFINE_integer,
    DEFINE_list,
    DEFINE_string,
)

from siskintally.command import Command
from siskintally.daemon import serve_until_signal
from siskintally.errors import BadSettingsError
from siskintally.log import configure_logging
from siskintally.settings import Address, Process, load
from siskintally.stub_worker import StubWorker, StubWorkers, TaskRecorder, WorkerOptions
from siskintally.wire_pb2 import Resources
from siskintally.worker_state import Faults

LOG_LEVELS = ("debug", "info", "warning", "error")


def register(registry):
    """Add the commands of this family."""
    registry.add(
        Command(
            name="stub-worker",
            summary="Run workers whose tasks are timers and record what they ran (for tests).",
            define=define_worker,
            start=start_worker,
        )
    )


def define_worker(values):
    """Add the flags of ``stub-worker``."""
    DEFINE_string("settings", None, "settings file of the cell (TOML)", flag_values=values)
    DEFINE_list("stores", [], "addresses of the domain's stores, host:port", flag_values=values)
    DEFINE_string("name", "worker", "worker name; with --count, its prefix", flag_values=values)
    DEFINE_string("domain", "jylland-a", "failure domain", flag_values=values)
    DEFINE_string("rack", "r0", "rack; with --count, its prefix", flag_values=values)
    DEFINE_integer("count", 1, "workers in this process", 1, 1000, flag_values=values)
    DEFINE_integer("per_rack", 8, "workers in a rack", 1, 1000, flag_values=values)
    DEFINE_integer(
        "cpu_milli", 32_000, "processor capacity, thousandths of a core", 0, flag_values=values
    )
    DEFINE_integer("memory_mb", 128_000, "memory capacity, MB", 0, flag_values=values)
    DEFINE_integer("accelerators", 0, "number of accelerators", 0, flag_values=values)
    DEFINE_float(
        "beat_s", 10.0, "longest time between heartbeats, s", 0.1, 60.0, flag_values=values
    )
    DEFINE_boolean("fail", False, "fail every task", flag_values=values)
    DEFINE_float(
        "run_factor", 1.0, "actual run time / declared run time", 0.0, 1e3, flag_values=values
    )
    DEFINE_float("size_factor", 1.0, "reported use / declared size", 0.0, 1e3, flag_values=values)
    DEFINE_float(
        "pause_s",
        0.0,
        "delay from receipt of an order to the start, s",
        0.0,
        1e3,
        flag_values=values,
    )
    DEFINE_string("record", "", "file to append a JSON line per event to", flag_values=values)
    DEFINE_enum("log_level", "warning", LOG_LEVELS, "lowest level of log lines", flag_values=values)


def start_worker(values, arguments):
    """Run ``stub-worker``."""
    if arguments:
        raise BadSettingsError(f"arguments = {arguments}: expected only flags")
    if not values.settings:
        raise BadSettingsError("--settings: expected a file")
    settings = load(values.settings)
    configure_logging(process=values.name, level=values.log_level)
    recorder = TaskRecorder(path=values.record)
    tls = settings.tls(values.name)
    workers = [
        StubWorker(
            options=options,
            stores=_store_processes(settings, values),
            cell=settings.cell,
            secret=settings.secret,
            recorder=recorder,
            tls=tls,
        )
        for options in _worker_options(values)
    ]
    stubs = StubWorkers(workers=workers)
    return serve_until_signal(stubs.run, stubs.stop)


def _store_processes(settings, values):
    """Return the stores to connect to; the flag --stores replaces their addresses.

    The given addresses may be those of forwarders.
    """
    group = settings.group_of_domain(values.domain)
    members = [settings.process(member) for member in group.members]
    if not values.stores:
        return members
    if len(values.stores) != len(members):
        raise BadSettingsError(
            f"--stores = {values.stores}: expected one for each of {group.members}"
        )
    return [
        Process(
            name=member.name,
            role=member.role,
            domain=member.domain,
            region=member.region,
            link=Address.parse(address, key="--stores"),
        )
        for member, address in zip(members, values.stores, strict=True)
    ]


def _worker_options(values):
    for number in range(values.count):
        has_several = values.count > 1
        yield WorkerOptions(
            name=f"{values.name}-{number}" if has_several else values.name,
            domain=values.domain,
            rack=f"{values.rack}-{number // values.per_rack}" if has_several else values.rack,
            capacity=Resources(
                cpu_milli=values.cpu_milli,
                memory_mb=values.memory_mb,
                accelerators=values.accelerators,
            ),
            faults=Faults(
                fail=values.fail,
                run_factor=values.run_factor,
                size_factor=values.size_factor,
                pause_s=values.pause_s,
            ),
            heartbeat_interval_s=values.beat_s,
        )
