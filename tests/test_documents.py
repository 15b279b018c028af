"""Documentation pages and sample files agree with the code."""

from pathlib import Path
from re import MULTILINE, findall
from tomllib import loads

import pytest

from siskintally.codes import Code
from siskintally.config import parse_config
from siskintally.job_split import insufficient_resources, task_count
from siskintally.preset import LIMITS
from siskintally.settings import load
from siskintally.spec import SPEC_KEYS, parse_spec
from siskintally.wire_pb2 import Resources

ROOT = Path(__file__).parent.parent
SAMPLES = ROOT / "samples"
CELLS = {
    "fjeldrute": ({"jylland-a", "sjaelland-a", "fjeld-a"}, 131072),
    "camara": ({"litoral-parana", "cuyo-mendoza", "noa-salta"}, 65536),
}


def read_page(name):
    return (ROOT / "docs" / name).read_text(encoding="utf-8")


def table_rows(text):
    """Return {name: other cells} of the table rows whose first cell is a name in backquotes."""
    lines = findall(r"^\| `(\w+)` \|(.*)\|$", text, flags=MULTILINE)
    return {name: [cell.strip() for cell in rest.split("|")] for name, rest in lines}


def test_result_code_table_is_complete():
    """Guards against a code that operators cannot look up."""
    listed = findall(r"^\| (\d+) \| (\w+) \|", read_page("result-codes.md"), flags=MULTILINE)
    assert [(int(number), name) for number, name in listed] == [(c.value, c.name) for c in Code]


def test_preset_table_agrees_with_the_code():
    """Guards against documented ranges or defaults that differ from those the code applies."""
    table = table_rows(read_page("configuration.md"))
    for limit in LIMITS:
        kind, _, range_, defaults, _ = table[limit.name]
        assert kind == limit.kind.__name__
        assert range_ == ("true, false" if limit.kind is bool else f"{limit.low} to {limit.high}")
        assert [loads(f"v = {text}")["v"] for text in defaults.split(", ")] == list(limit.defaults)
    assert set(SPEC_KEYS) <= set(table)


def test_layout_of_nine_vms_gives_each_leader_its_own_vm():
    """Guards against a VM that leads two groups, which is over its processor budget."""
    settings = load(SAMPLES / "two-regions.toml")
    stores = {name for name, process in settings.process_by_name.items() if process.role == "store"}
    leaders = [group.members[0] for group in settings.group_by_name.values()]
    assert len(stores) == 9
    assert len(set(leaders)) == len(leaders) == 7
    for group in settings.domain_groups():
        regions = {settings.process(member).region for member in group.members}
        assert len(group.members) == 3
        assert len(regions) == 1


@pytest.mark.parametrize("cell", CELLS)
def test_sample_cell_is_valid(cell):
    """Guards against sample settings that no process can start with."""
    settings = load(SAMPLES / f"{cell}.toml")
    domains, _ = CELLS[cell]
    assert {domain for group in settings.domain_groups() for domain in group.domains} == domains
    for domain in domains:
        assert len(settings.group_of_domain(domain).members) == 3
        assert len(list(settings.entries(domain=domain))) == 2
    cell_stores = [settings.process(name) for name in settings.group_by_name["cell"].members]
    assert {store.domain for store in cell_stores} == domains


@pytest.mark.parametrize("cell", CELLS)
def test_sample_jobs_fit_sample_quotas_and_workers(cell):
    """Guards against a sample job that its sample cell refuses."""
    config = parse_config((SAMPLES / f"{cell}-config.toml").read_text(encoding="utf-8"))
    domains, memory_mb = CELLS[cell]
    worker = Resources(cpu_milli=32_000, memory_mb=memory_mb, accelerators=1)
    paths = [path for path in SAMPLES.glob(f"{cell}-*.toml") if path.stem != f"{cell}-config"]
    assert len(paths) == 3
    for path in paths:
        spec = parse_spec(loads(path.read_text(encoding="utf-8")))
        assert not insufficient_resources(worker, spec.each)
        assert task_count(config.quota_by_team[spec.team], spec.each) >= spec.tasks
        assert spec.domain in {"", *domains}
