"""Reloads of the settings, at SIGHUP: no file and no moment ends the process (issue 40, 2)."""

from os import chmod, environ
from pathlib import Path
from signal import SIGHUP, SIGTERM
from subprocess import Popen
from sys import executable

from anyio import run
from pytest import mark, raises

from siskintally.counters import Counters
from siskintally.errors import BadSettingsError
from siskintally.node_settings import load_node_settings, parse_node_settings
from siskintally.settings_reload import SettingsReload
from tests.processes import Processes, free_ports, wait_until

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.61"
HALF_A_FILE = f'name = "{HOST}"\nip = "127.0'
# Sends a signal to itself while the commands are loaded, before any handler is set up.
EARLY_SIGNAL_PROGRAM = """
from os import getpid, kill
from signal import Signals
from sys import argv

import siskintally.main as main

number = Signals(int(argv.pop(2)))
build_registry = main.build_registry


def build(name=None):
    kill(getpid(), number)
    return build_registry(name)


main.build_registry = build
main.run()
"""


def settings_text(folder):
    """Return the settings of a store that founds a cell alone."""
    link, control = free_ports(2)
    return (
        f'name = "{HOST}"\nip = "{HOST}"\ndomain = "d"\nlink_port = {link}\nfounding = true\n'
        f'seeds = ["{HOST}:{control}"]\ncontrol = "{HOST}:{control}"\ndata = "{folder}/data"\n'
    )


def damage_half(path):
    path.write_text(HALF_A_FILE, encoding="utf-8")


def damage_remove(path):
    path.unlink()


def damage_value(path):
    path.write_text(f"{path.read_text(encoding='utf-8')}tolerated = 99\n", encoding="utf-8")


def damage_bytes(path):
    path.write_bytes(b"name = \xff\xfe")


def damage_seeds(path):
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace("seeds = [", "seeds = [7, "), encoding="utf-8")


def damage_folder(path):
    path.unlink()
    path.mkdir()


DAMAGES = (
    damage_half,
    damage_remove,
    damage_value,
    damage_bytes,
    damage_seeds,
    damage_folder,
)


@mark.parametrize("damage", DAMAGES)
def test_settings_that_cannot_be_used_leave_the_process_running(tmp_path, damage):
    """Guards against a store that ends at SIGHUP because its settings are being written."""

    async def main():
        with Processes(folder=tmp_path) as processes:
            path = tmp_path / "settings.toml"
            text = settings_text(tmp_path)
            path.write_text(text, encoding="utf-8")
            processes.start("s", "platform-store", f"--settings={path}")
            await wait_until(lambda: '"serving"' in processes.log_text("s"), "serving")
            damage(path)
            processes.popen_by_name["s"].send_signal(SIGHUP)
            await wait_until(
                lambda: (
                    "settings not reloaded" in processes.log_text("s")
                    or not processes.is_running("s")
                ),
                "reload",
            )
            assert processes.is_running("s"), processes.log_text("s")[-500:]
            assert '"code": ' in processes.log_text("s")
            assert await processes.finish("s") == 0

    run(main)


@mark.parametrize("damage", DAMAGES)
def test_settings_that_cannot_be_used_are_refused_with_a_numbered_error(tmp_path, damage):
    """Guards against an error without a code, which an operator cannot look up."""
    path = tmp_path / "settings.toml"
    path.write_text(settings_text(tmp_path), encoding="utf-8")
    load_node_settings(path)
    damage(path)
    with raises(BadSettingsError):
        load_node_settings(path)


def test_a_file_without_permission_is_refused_with_a_numbered_error(tmp_path):
    """Guards against a process that ends because a file may not be read for a moment."""
    path = tmp_path / "settings.toml"
    path.write_text(settings_text(tmp_path), encoding="utf-8")
    chmod(path, 0)
    try:
        path.read_text(encoding="utf-8")
    except PermissionError:
        with raises(BadSettingsError):
            load_node_settings(path)


@mark.parametrize("error", [BadSettingsError("seeds: missing"), ArithmeticError("unexpected")])
def test_a_failed_reload_changes_nothing_and_is_counted(error):
    """Guards against an error of a reload that leaves the handler of the signal."""

    def load():
        raise error

    counters, applied = Counters(), []
    reload = SettingsReload(load=load, apply=applied.append, counters=counters)
    reload()
    reload()
    assert applied == []
    assert 'siskintally_reloads_total{outcome="failed"} 2.0' in counters.to_text()


@mark.parametrize("seeds", ["[7]", '[""]', '["host"]', "[[]]"])
def test_seeds_that_are_no_addresses_are_refused(seeds):
    """Guards against a reload that fails halfway, after some seeds were applied."""
    text = f'name = "s"\nip = "h"\ndomain = "d"\nlink_port = 7000\nseeds = {seeds}\n'
    with raises(BadSettingsError):
        parse_node_settings(text)


def start_with_early_signal(folder, number):
    """Start a store that gets a signal while it starts; return its process and its log."""
    path = folder / "settings.toml"
    path.write_text(settings_text(folder), encoding="utf-8")
    program = folder / "program.py"
    program.write_text(EARLY_SIGNAL_PROGRAM, encoding="utf-8")
    log_path = folder / "s.log"
    arguments = (executable, program, "platform-store", str(int(number)), f"--settings={path}")
    with open(log_path, "wb") as log:
        environment = {**environ, "PYTHONPATH": str(ROOT)}
        return Popen(arguments, stdout=log, stderr=log, env=environment), log_path


def test_sighup_during_the_start_is_handled_once_the_process_is_up(tmp_path):
    """Guards against a process that ends because its settings change while it starts."""

    async def main():
        popen, log_path = start_with_early_signal(tmp_path, SIGHUP)
        try:
            await wait_until(
                lambda: popen.poll() is not None or b'"reload"' in log_path.read_bytes(), "reload"
            )
            assert popen.poll() is None, f"ended with status {popen.returncode}"
        finally:
            popen.terminate()
            assert popen.wait(15) == 0

    run(main)


def test_sigterm_during_the_start_ends_the_process_without_an_error(tmp_path):
    """Guards against a start that cannot be stopped, or that prints a traceback."""
    popen, log_path = start_with_early_signal(tmp_path, SIGTERM)
    assert popen.wait(15) in (0, -SIGTERM)
    assert log_path.read_bytes() == b""
