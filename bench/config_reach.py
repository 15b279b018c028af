"""Time in seconds from the acceptance of a configuration until it is in force at all entries.

The cell has six failure domains in two regions, with the network delays of the platform between
them. After a network cut of one domain or one region, the time counts from the end of the cut.

Usage: python -m bench.config_reach [changes]
"""

import json
from pathlib import Path
from random import Random
from sys import argv
from tempfile import TemporaryDirectory
from time import monotonic

from anyio import run, sleep

from tests.cell_runs import wait_version
from tests.full_cell import running_cell
from tests.six_domains import DOMAINS_BY_REGION, LAYOUT, change_config

CHANGES = 40
CUTS = 3
TARGET_S = 5.0
# Longer than the time without a frame after which links are closed.
CUT_S = 8.0
REGION_DELAY_S = 0.008
DOMAIN_DELAY_S = 0.0005


def set_delays(cell):
    """Set the network delays of the platform on all links between domains."""
    for (source_domain, name), forwarder in cell.network.forwarder_by_route.items():
        source_region, target_region = (
            text.partition("-")[0] for text in (source_domain, cell.network.location_by_name[name])
        )
        forwarder.delay_s = DOMAIN_DELAY_S if source_region == target_region else REGION_DELAY_S


async def measure_after_cut(cell, locations, version):
    """Change the configuration during a cut; return the seconds from the end of the cut."""
    cell.network.cut(*locations)
    await sleep(CUT_S)
    await change_config(cell, version)
    cell.network.heal()
    healed = monotonic()
    set_delays(cell)
    await wait_version(cell, version + 1)
    return monotonic() - healed


async def measure(changes):
    """Return ``{kind of change: seconds of each change}``."""
    seconds_by_kind = {
        "ordinary": [],
        "after the cut of a domain": [],
        "after the cut of a region": [],
    }
    with TemporaryDirectory() as folder:
        options = {"layout": LAYOUT, "location_by_name": LAYOUT.domain_by_name()}
        async with running_cell(Path(folder), Random(1), **options) as cell:
            set_delays(cell)
            version = 1
            for _ in range(changes):
                accepted = await change_config(cell, version)
                version += 1
                await wait_version(cell, version)
                seconds_by_kind["ordinary"].append(monotonic() - accepted)
            for _ in range(CUTS):
                for what, locations in (
                    ("domain", ["fjeld-b"]),
                    ("region", DOMAINS_BY_REGION["fjeld"]),
                ):
                    seconds = await measure_after_cut(cell, locations, version)
                    seconds_by_kind[f"after the cut of a {what}"].append(seconds)
                    version += 1
    return seconds_by_kind


def main():
    """Print the median and the maximum with their ratio to the target, and JSON."""
    seconds_by_kind = run(measure, int(argv[1]) if len(argv) > 1 else CHANGES)
    for what, seconds in seconds_by_kind.items():
        ordered = sorted(seconds)
        median, longest = ordered[len(ordered) // 2], ordered[-1]
        print(
            f"{what}: {len(ordered)} changes, median {median:.3f} s, max {longest:.3f} s, "
            f"x{longest / TARGET_S:.3f} of the target of {TARGET_S} s"
        )
    print(json.dumps(seconds_by_kind))


if __name__ == "__main__":
    main()
