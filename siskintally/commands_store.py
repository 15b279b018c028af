"""Commands ``store`` (store daemon), ``init`` (bootstrap of groups), and ``check``.

>>> from siskintally.command import Registry
>>> from siskintally.commands_store import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['check', 'init', 'store']
"""

from functools import partial
from json import dumps
from pathlib import Path
from sys import stderr

from absl.flags import DEFINE_boolean, DEFINE_enum, DEFINE_string
from anyio import run as run_async

from siskintally.bootstrap import bootstrap_group, groups_to_bootstrap
from siskintally.client import exit_status
from siskintally.command import Command
from siskintally.config import parse_config
from siskintally.daemon import serve_until_signal
from siskintally.errors import BadSettingsError, SiskintallyError
from siskintally.journal import bootstrap_replica
from siskintally.log import LEVEL_BY_NAME, configure_logging
from siskintally.settings import load
from siskintally.store import Store

LOG_LEVELS = tuple(LEVEL_BY_NAME)


def register(registry):
    """Add the commands of this family."""
    rows = (
        ("store", "Run a store: replicas of the cell group and of domain groups.", start_store),
        (
            "init",
            "Bootstrap the groups whose first member is this store; once per cell.",
            start_init,
        ),
        ("check", "Check settings and, with --config, a configuration document.", start_check),
    )
    for name, summary, start in rows:
        define = define_check if name == "check" else define_process
        registry.add(
            Command(name=name, summary=summary, define=define, start=_with_exit_status(start))
        )


def _with_exit_status(start):
    """Wrap a command so that an error is printed with its code and sets the exit status."""

    def run(values, arguments):
        try:
            if arguments:
                raise BadSettingsError(f"arguments = {arguments}: expected only flags")
            return start(values)
        except* SiskintallyError as group:
            error = _first_leaf(group)
            print(f"{int(error.code)} {error.code.name}: {error}", file=stderr)
            status = exit_status(error.code)
        return status

    return run


def _first_leaf(error):
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def define_process(values):
    """Add the flags of ``store`` and ``init``."""
    DEFINE_string("settings", None, "settings file of the cell (TOML)", flag_values=values)
    DEFINE_string("name", None, "name of this process in the settings", flag_values=values)
    DEFINE_enum("log_level", "info", LOG_LEVELS, "lowest level of log lines", flag_values=values)
    DEFINE_boolean("json", False, "print the answer as one line of JSON", flag_values=values)


def define_check(values):
    """Add the flags of ``check``."""
    DEFINE_string("settings", None, "settings file of the cell (TOML)", flag_values=values)
    DEFINE_string("config", None, "configuration document (TOML)", flag_values=values)
    DEFINE_boolean("json", False, "print the answer as one line of JSON", flag_values=values)


def _load_process(values):
    if not values.settings or not values.name:
        raise BadSettingsError("--settings and --name: expected both")
    settings = load(values.settings)
    process = settings.process(values.name)
    if process.role != "store":
        raise BadSettingsError(f"--name = {values.name!r}: expected a process with role store")
    configure_logging(process=process.name, level=values.log_level)
    return settings, process


def start_store(values):
    """Run ``store``."""
    settings, process = _load_process(values)
    store = Store(settings=settings, process=process)
    return serve_until_signal(store.run, store.stop)


def start_init(values):
    """Run ``init``."""
    settings, process = _load_process(values)
    names = []
    for group in groups_to_bootstrap(settings, process.name):
        run_async(
            partial(
                bootstrap_group,
                settings=settings,
                process=process,
                group=group,
                bootstrap_replica=bootstrap_replica,
            )
        )
        names.append(group.name)
    if values.json:
        print(dumps({"code": 1000, "answer": {"founded": names}}))
    else:
        print(f"bootstrapped: {', '.join(names) or 'none; this store joins when it starts'}")
    return 0


def start_check(values):
    """Run ``check``."""
    if not values.settings and not values.config:
        raise BadSettingsError("--settings, --config: expected at least one of them")
    checked = []
    if values.settings:
        settings = load(values.settings)
        checked.append(f"{len(settings.process_by_name)} processes")
        checked.append(f"{len(settings.group_by_name)} groups")
    if values.config:
        try:
            document = Path(values.config).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise BadSettingsError(f"--config = {values.config!r}: {error}") from error
        config = parse_config(document)
        checked.append(f"{len(config.quota_by_team)} teams")
    if values.json:
        print(dumps({"code": 1000, "answer": {"checked": checked}}))
    else:
        print(f"valid: {', '.join(checked)}")
    return 0
