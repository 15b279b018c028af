"""A cell of six failure domains in two regions.

Each domain has a store and an entry; each region is one domain group.
"""

from time import monotonic

from tests.full_cell import DOCUMENT, Layout

DOMAINS_BY_REGION = {
    region: [f"{region}-{letter}" for letter in "abc"] for region in ("jylland", "fjeld")
}
DOMAINS = [domain for domains in DOMAINS_BY_REGION.values() for domain in domains]
STORES = {f"s{number}": domain for number, domain in enumerate(DOMAINS, start=1)}
ENTRIES = {f"e{number}": domain for number, domain in enumerate(DOMAINS, start=1)}
# Two of the three members of the cell group are in the same region.
LAYOUT = Layout(
    stores=STORES,
    entries=ENTRIES,
    members_by_group={
        "cell": ["s1", "s2", "s4"],
        "jylland": ["s1", "s2", "s3"],
        "fjeld": ["s4", "s5", "s6"],
    },
    domains_by_group=DOMAINS_BY_REGION,
)


async def change_config(cell, version):
    """Change the configuration through e1; return the time of acceptance."""
    fields = {"document": f"{DOCUMENT}# {version}\n", "expect_version": version}
    answer = await cell.operate("config", fields, request_id=f"change-{version}")
    assert answer["version"] == version + 1
    return monotonic()
