"""Commands ``entry`` (entry daemon) and ``stub-endpoint`` (endpoint for tests).

>>> from siskintally.command import Registry
>>> from siskintally.commands_entry import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['entry', 'stub-endpoint']
"""

from os import environ

from absl.flags import (
    DEFINE_boolean,
    DEFINE_enum,
    DEFINE_float,
    DEFINE_integer,
    DEFINE_list,
    DEFINE_string,
)

from siskintally.balancer import BALANCER_BY_NAME
from siskintally.command import Command
from siskintally.daemon import serve_until_signal
from siskintally.entry import Entry
from siskintally.errors import BadSettingsError
from siskintally.log import configure_logging
from siskintally.settings import load
from siskintally.stub_endpoint import FAULTS, StubEndpoint, StubEndpointOptions

TOKEN_VARIABLE = "SISKINTALLY_ENDPOINT_TOKEN"
LOG_LEVELS = ("debug", "info", "warning", "error")


def register(registry):
    """Add the commands of this family."""
    registry.add(
        Command(
            name="entry",
            summary="Serve callers, endpoints, and operators over HTTP.",
            define=define_entry,
            start=start_entry,
        )
    )
    registry.add(
        Command(
            name="stub-endpoint",
            summary="Run an endpoint that announces itself and records what it ran (for tests).",
            define=define_stub,
            start=start_stub,
        )
    )


def define_entry(values):
    """Add the flags of ``entry``."""
    DEFINE_string("settings", None, "settings file of the cell (TOML)", flag_values=values)
    DEFINE_string("name", None, "name of this process in the settings", flag_values=values)
    DEFINE_boolean(
        "standalone", False, "serve with default limits and without stores", flag_values=values
    )
    DEFINE_float(
        "drain_s", 30.0, "longest duration of a planned stop, s", 0.0, 3600.0, flag_values=values
    )
    DEFINE_enum(
        "balancer",
        "power-of-two",
        sorted(BALANCER_BY_NAME),
        "how the endpoint of a request is chosen",
        flag_values=values,
    )
    DEFINE_enum("log_level", "info", LOG_LEVELS, "lowest level of log lines", flag_values=values)


def start_entry(values, arguments):
    """Run ``entry``."""
    _require_no_arguments(arguments)
    if not values.settings or not values.name:
        raise BadSettingsError("--settings and --name: expected both")
    settings = load(values.settings)
    process = settings.process(values.name)
    if process.role != "entry":
        raise BadSettingsError(f"--name = {values.name!r}: expected a process with role entry")
    configure_logging(process=process.name, level=values.log_level)
    entry = Entry(
        settings=settings,
        process=process,
        standalone=values.standalone,
        drain_s=values.drain_s,
        balancer=values.balancer,
    )
    return serve_until_signal(entry.run, entry.stop)


def define_stub(values):
    """Add the flags of ``stub-endpoint``."""
    DEFINE_string("name", "stub-1", "endpoint name", flag_values=values)
    DEFINE_string("service", "seat-count", "service name", flag_values=values)
    DEFINE_string("domain", "jylland-a", "failure domain", flag_values=values)
    DEFINE_string("http", "127.0.0.1:7301", "address to listen on, host:port", flag_values=values)
    DEFINE_list("entries", [], "entry URLs to announce to, comma-separated", flag_values=values)
    DEFINE_integer(
        "slots", 8, "announced number of requests at a time", 1, 1024, flag_values=values
    )
    DEFINE_integer(
        "connections", 64, "announced number of connections at a time", 1, 8192, flag_values=values
    )
    DEFINE_float("service_ms", 20.0, "service time, ms", 0.0, 3.6e6, flag_values=values)
    DEFINE_enum("fault", "none", FAULTS, "fault injected into each response", flag_values=values)
    DEFINE_string(
        "record", "", "file to append a JSON line to per start and end", flag_values=values
    )
    DEFINE_string(
        "token", None, f"token of the service; the default is ${TOKEN_VARIABLE}", flag_values=values
    )
    DEFINE_enum("log_level", "warning", LOG_LEVELS, "lowest level of log lines", flag_values=values)


def start_stub(values, arguments):
    """Run ``stub-endpoint``."""
    _require_no_arguments(arguments)
    configure_logging(process=values.name, level=values.log_level)
    options = StubEndpointOptions(
        name=values.name,
        service=values.service,
        domain=values.domain,
        http=values.http,
        entries=tuple(values.entries),
        slots=values.slots,
        connections=values.connections,
        service_s=values.service_ms / 1000,
        fault=values.fault,
        token=values.token or environ.get(TOKEN_VARIABLE, ""),
        record=values.record,
    )
    stub = StubEndpoint(options=options)
    return serve_until_signal(stub.run, stub.stop)


def _require_no_arguments(arguments):
    if arguments:
        raise BadSettingsError(f"arguments = {arguments}: expected only flags")
