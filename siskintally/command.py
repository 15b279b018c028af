"""Subcommands of the command line and their registry.

>>> from siskintally.command import Command, Registry
>>> registry = Registry()
>>> registry.add(Command(name="noop", summary="Do nothing.", define=None, start=None))
>>> [command.name for command in registry]
['noop']
"""

from absl.flags import DEFINE_boolean, FlagValues

from siskintally.errors import BadSettingsError


class Command:
    """One subcommand.

    :param name: first argument on the command line.
    :param summary: one line for the overview of all commands.
    :param define: ``define(values)`` adds the command's flags to a ``FlagValues``; or None.
    :param start: ``start(values, arguments)`` runs the command and returns the exit status;
        ``arguments`` are the positional arguments.
    """

    __slots__ = ("define", "name", "start", "summary")

    def __init__(self, *, name, summary, define, start):
        self.name = name
        self.summary = summary
        self.define = define
        self.start = start

    def flag_values(self):
        """Return the flags of this command with their default values."""
        values = FlagValues()
        DEFINE_boolean("help", False, "print this help", flag_values=values)
        if self.define is not None:
            self.define(values)
        return values

    def usage(self, values):
        """Return the help text of the command."""
        lines = [f"usage: siskintally {self.name} [flags]", "", self.summary, "", "flags:"]
        for name in sorted(values):
            if name in values and values[name].name == name:
                default = values[name].default_as_str or "none"
                lines.append(f"  --{name}: {values[name].help} (default: {default})")
        return "\n".join(lines)


class Registry:
    """Subcommands by name."""

    __slots__ = ("_by_name",)

    def __init__(self):
        self._by_name = {}

    def __iter__(self):
        return iter(self._by_name[name] for name in sorted(self._by_name))

    def add(self, command):
        """Add a command.

        :raises ValueError: a command with this name exists already.
        """
        if command.name in self._by_name:
            raise ValueError(f"command {command.name!r} is registered twice")
        self._by_name[command.name] = command

    def find(self, name):
        """Return the command with this name.

        :raises BadSettingsError: there is none.
        """
        if name not in self._by_name:
            known = ", ".join(sorted(self._by_name))
            raise BadSettingsError(f"command = {name!r}: expected one of {known}")
        return self._by_name[name]

    def usage(self):
        """Return the overview of all commands."""
        lines = ["usage: siskintally <command> [flags]", "", "commands:"]
        lines.extend(f"  {command.name:<14} {command.summary}" for command in self)
        lines.append("\n`siskintally <command> --help` lists the flags of a command.")
        return "\n".join(lines)
