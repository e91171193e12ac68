"""Short run of the end of a day with real processes."""

from pathlib import Path

from soak.final_fault import FinalFault, play_final_fault


async def test_service_is_back_after_all_hosts_have_ended(tmp_path: Path) -> None:
    """Guards against hosts that serve nothing, or lose a change, after all of them have ended."""
    report = await play_final_fault(0, FinalFault(wiped_count=2, away_s=1.0), tmp_path)
    assert not report.is_broken, report
