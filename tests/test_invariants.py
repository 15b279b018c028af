"""The table of invariants in docs/invariants.md must name tests that exist."""

from pathlib import Path
from re import findall

from tests.model.registry import ci_specs, large_specs


def test_table_names_existing_tests_and_specifications():
    """Guards against an invariant whose listed test or specification was renamed or removed."""
    text = Path("docs/invariants.md").read_text(encoding="utf-8")
    code = "".join(path.read_text(encoding="utf-8") for path in Path("tests").glob("test_*.py"))
    missing = [name for name in findall(r"`(test_\w+)`", text) if f"def {name}(" not in code]
    assert missing == []
    spec_names = {spec.name for spec in (*ci_specs(), *large_specs())}
    lists = findall(r"models? ((?:`[\w*-]+`(?:, )?)+)", text)
    prefixes = {name.rstrip("*") for names in lists for name in findall(r"`([\w*-]+)`", names)}
    assert prefixes
    assert [
        prefix for prefix in prefixes if not any(name.startswith(prefix) for name in spec_names)
    ] == []
