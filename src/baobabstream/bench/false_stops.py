"""False stops of healthy rollouts, from pooled evidence alone."""

from random import Random

from baobabstream.policy.version_health import VersionHealth
from baobabstream.wire.messages import VersionEvidence

__all__ = ["count_false_stops"]

ANSWERS = 10_000
ANSWERS_PER_BATCH = 5
BATCH_S = 0.5
ERROR_RATE = 0.01
# Share of the new version over the parts of a rollout.
STEPS = ((0.05, 0.1), (0.25, 0.2), (0.5, 0.3), (1.0, 1.01))


def count_false_stops(rollouts: int, seed: int) -> int:
    """Return how many of the healthy rollouts stop a version."""
    random = Random(seed)
    return sum(_stops(random) for _ in range(rollouts))


def _stops(random: Random) -> bool:
    health = VersionHealth()
    health.set_baseline("m", "2", "1")
    quality = random.uniform(0.8, 0.97)
    batches = ANSWERS // ANSWERS_PER_BATCH
    for number in range(batches):
        now_s = number * BATCH_S
        share = next(share for share, until in STEPS if number / batches < until)
        new = sum(random.random() < share for _ in range(ANSWERS_PER_BATCH))
        for version, count in (("1", ANSWERS_PER_BATCH - new), ("2", new)):
            if count:
                health.observe(_evidence(version, count, quality, random), now_s)
        if health.verdicts(now_s):
            return True
    return False


def _evidence(version: str, count: int, quality: float, random: Random) -> VersionEvidence:
    errors = sum(random.random() < ERROR_RATE for _ in range(count))
    good = sum(random.random() < quality for _ in range(count))
    return VersionEvidence("m", version, count - errors, errors, good, count - good)
