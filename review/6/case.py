"""A core machine is replaced as planned; then two of the others lose their disks."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.clients import make_config  # noqa: E402
from stand_ins.deployment import BOUNDS, Deployment, Record  # noqa: E402
from stand_ins.run_case import CannotRun, run_case, trouble  # noqa: E402

# Time that the successor has before the old machine is stopped; `catch_up_s` is 4.
SUCCESSOR_S = BOUNDS["catch_up_s"] + 2
# Time from the return of the machines to the end of the day. Twice `recover_s`, with a margin.
DAY_AFTER_S = 2 * BOUNDS["recover_s"] + 10
READ_GAP_S = 0.5


async def play(folder: Path, record: Record) -> list[str]:
    deployment = Deployment(folder, record, cores=5, edges=1)
    try:
        return await _play(deployment, record)
    finally:
        await deployment.close()


async def _play(deployment: Deployment, record: Record) -> list[str]:
    founders = list(deployment.cores)
    if not await deployment.put_config(make_config(3), founders, 20):
        raise CannotRun("the first configuration was not acknowledged")
    # All five machines have had `catch_up_s` since their start, and a calm time.
    await asyncio.sleep(BOUNDS["catch_up_s"] + 2)
    record.write("successor starts", machine="core-6")
    deployment.add_core()
    await asyncio.sleep(SUCCESSOR_S)
    old = founders[4]
    old.remove(signal.SIGTERM)
    if not await deployment.wait_until(lambda: not old.is_running, BOUNDS["grace_s"]):
        raise CannotRun("the old machine did not end")
    remaining = [machine for machine in deployment.cores if machine is not old]
    if not await deployment.put_config(make_config(7, "/sign/v7/"), remaining, BOUNDS["ack_ms"] / 1000):
        raise CannotRun("the second configuration was not acknowledged")
    acknowledged_s = record.now_s
    record.write("acknowledged", version=7)
    if trouble():
        for machine in (founders[2], founders[3]):
            machine.lose_disk()
    # `recover_s` after the machines are back, the operator reads until the end of the day.
    await asyncio.sleep(2)
    back_s = max([acknowledged_s, *(machine.started_s for machine in remaining)])
    record.write("machines are back", at_s=round(back_s, 2))
    end_s = record.now_s + DAY_AFTER_S
    reads: list[int | None] = []
    while record.now_s < end_s:
        for machine in remaining:
            status, version = await deployment.get_config(machine)
            record.write("get", to=machine.name, status=status, version=version)
            if record.now_s > back_s + BOUNDS["recover_s"]:
                reads.append(version)
        await asyncio.sleep(READ_GAP_S)
    newest = [version for version in reads if version is not None]
    record.write("reads after recover_s", count=len(reads), answered=len(newest))
    if any(version < 7 for version in newest):
        return ["CONFIG: the configuration that is read back is older than the acknowledged one"]
    if not newest:
        return [
            "CONFIG: version 7 was acknowledged; from recover_s after the machines were back, "
            f"none of {len(reads)} reads at all five machines returned a configuration"
        ]
    return []


if __name__ == "__main__":
    run_case(__file__, play)
