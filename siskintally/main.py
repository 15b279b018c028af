"""Command line: ``siskintally <command> [flags]``.

Each family of commands is a module with a function ``register(registry)``, see ``FAMILIES``.

>>> from siskintally.main import build_registry
>>> "entry" in [command.name for command in build_registry()]
True
"""

from importlib import import_module
from os import O_WRONLY, devnull, dup2
from os import open as open_descriptor
from sys import argv as process_argv
from sys import exit as exit_process
from sys import stderr, stdout

from absl.app import run as run_app
from absl.flags import FLAGS
from absl.flags import Error as FlagError
from absl.logging import WARNING, set_verbosity

from siskintally.command import Registry
from siskintally.errors import SiskintallyError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# Status that a shell reports for a process that was killed by SIGPIPE.
EXIT_READER_GONE = 141
FAMILIES = (
    "siskintally.commands_entry",
    "siskintally.commands_operator",
    "siskintally.commands_report",
    "siskintally.commands_store",
    "siskintally.commands_worker",
    "siskintally.platform.entry_command",
    "siskintally.platform.store_command",
)
# These commands import only their own family: on a small VM, the imports of the other families
# take half of the start time.
FAMILY_BY_COMMAND = {
    "platform-entry": "siskintally.platform.entry_command",
    "platform-store": "siskintally.platform.store_command",
}


def build_registry(name=None):
    """Return the registry of all commands.

    :param name: command to be run; if it is in ``FAMILY_BY_COMMAND``, only its family is loaded.
    """
    registry = Registry()
    families = (FAMILY_BY_COMMAND[name],) if name in FAMILY_BY_COMMAND else FAMILIES
    for family in families:
        import_module(family).register(registry)
    return registry


def run():
    """Run the command line of this process and exit; entry point of the executable.

    If the reader of standard output closes its end, as ``head`` does, the command ends without an
    error message.
    """
    try:
        status = dispatch(process_argv)
        stdout.flush()
    except BrokenPipeError:
        # Redirect standard output, so that the interpreter does not write the rest of the buffer to
        # the closed pipe when it exits.
        dup2(open_descriptor(devnull, O_WRONLY), stdout.fileno())
        status = EXIT_READER_GONE
    exit_process(status)


def dispatch(argv):
    """Run a command line.

    :param argv: program name, command, flags.
    :returns: exit status: 0 done, 1 failed with a result code, 2 wrong usage.
    """
    registry = build_registry(argv[1] if len(argv) > 1 else None)
    if len(argv) < 2 or argv[1] in ("--help", "-h", "help"):
        print(registry.usage())
        return EXIT_OK if len(argv) > 1 else EXIT_USAGE
    try:
        command = registry.find(argv[1])
    except SiskintallyError as error:
        return _print_error(error, EXIT_USAGE)
    values = command.flag_values()
    return _run_command(command, values, [argv[0], *argv[2:]])


def _run_command(command, values, argv):
    def parse(words):
        FLAGS(words[:1])
        return values(words)

    def main(words):
        # Libraries log each request at level INFO.
        set_verbosity(WARNING)
        if values.help:
            print(command.usage(values))
            return EXIT_OK
        try:
            return command.start(values, words[1:]) or EXIT_OK
        except SiskintallyError as error:
            return _print_error(error, EXIT_FAILED)

    try:
        return run_app(main, argv=argv, flags_parser=parse)
    except FlagError as error:
        print(f"siskintally {command.name}: {error}", file=stderr)
        return EXIT_USAGE


def _print_error(error, status):
    print(f"{int(error.code)} {error.code.name}: {error}", file=stderr)
    return status


if __name__ == "__main__":
    run()
