"""Reference pages follow the code."""

import re
import runpy
from pathlib import Path

import pytest

from baobabstream.emulator.faults import Faults
from baobabstream.telemetry.decision_log import EVENT_FIELDS
from baobabstream.telemetry.statistics import STATISTICS

ROOT = Path(__file__).resolve().parents[2]
WRITER = runpy.run_path(str(ROOT / "scripts" / "write_pages.py"))


@pytest.mark.parametrize("name", sorted(WRITER["PAGES"]))
def test_page_follows_the_code(name):
    """Guards against pages that describe codes, metrics, settings or commands of old."""
    written = (ROOT / "docs" / name).read_text(encoding="utf-8")
    assert written == WRITER["PAGES"][name](), "run scripts/write_pages.py"


def test_emulator_page_names_every_fault():
    """Guards against faults that nobody finds."""
    page = (ROOT / "docs" / "emulator.md").read_text(encoding="utf-8")
    assert [name for name in Faults.model_fields if f"`{name}`" not in page] == []


def test_links_between_pages_lead_to_files():
    """Guards against links to pages that were moved or never written."""
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
    links = [
        (page.name, target)
        for page in pages
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8"))
        if not (page.parent / target).exists()
    ]
    assert links == []


def test_operations_page_names_every_event_and_metric():
    """Guards against a line or number that nobody on call can look up."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    rows = [
        f"| `{event}` | {', '.join(f'`{name}`' for name in fields)} |"
        for event, fields in EVENT_FIELDS.items()
    ]
    assert [row for row in rows if row not in page] == []
    assert [name for name in STATISTICS if f"| `{name}` |" not in page] == []
