"""One run of a workload: callers, entries, engines and the leader in virtual time."""

from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from baobabstream.bench.fake_engine import EngineJob, FakeEngine
from baobabstream.bench.fake_entry import NETWORK_S, FakeEntry
from baobabstream.bench.fake_leader import FakeLeader
from baobabstream.bench.records import CallerRecord
from baobabstream.bench.virtual_time import VirtualTime
from baobabstream.bench.workload import Stream, Workload
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import Dispatch, StopVersion
from baobabstream.policy.events import RequestInfo, ViewChanged
from baobabstream.policy.outcome_policy import OutcomePolicy
from baobabstream.wire.rows import BackendKind, BackendRecord, LoadedVersion

__all__ = ["PolicyMaker", "World"]

PolicyMaker = Callable[[Random, str], RoutingPolicy]
ZONES = ("zone-a", "zone-b", "zone-c")
REPORT_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.2
PUBLISH_S = 0.05
RESTART_S = 5.0
# A rate is looked up again at least this often; the exponential distribution has no memory.
RATE_STEP_S = 0.25
EXPIRY_S = 1.0


class World:
    """Builds and runs one workload under one policy and seed."""

    def __init__(self, workload: Workload, make_policy: PolicyMaker, seed: int) -> None:
        self.workload = workload
        self._seed = seed
        self.time = VirtualTime()
        self._random = Random(f"{workload.name}/{seed}")
        # Apart from the arrivals, so that all policies get the same requests.
        self._balancer = Random(f"balancer/{seed}")
        self.records: list[CallerRecord] = []
        self.servers_lost = 0
        self._count = 0
        rows = [*workload.accounts, *workload.classes, *workload.versions, *workload.extra_rows]
        self.leader = FakeLeader(rows, self._publish)
        self.engines = {f"engine-{n}": self._engine(n) for n in range(workload.engines)}
        loaded = tuple(LoadedVersion(row.model, row.version) for row in workload.versions)
        self._announced = {
            name: BackendRecord(
                name,
                1,
                BackendKind.ENGINE,
                "",
                ZONES[number % 3],
                loaded=loaded,
                slots=workload.speed.slots,
            )
            for number, name in enumerate(self.engines)
        }
        self.leader.view.apply_backends(self._announced.values(), (), True)
        self.entries = [self._entry(n, make_policy, seed) for n in range(workload.entries)]
        self._publish_now()

    def run(self) -> list[CallerRecord]:
        """Run the workload and return what the callers saw."""
        for stream in self.workload.streams:
            # Seeded per stream, so that workloads that share a stream get the same requests.
            name = f"{stream.account}/{stream.work_class}/{self._seed}"
            self._next_arrival(stream, 0.0, Random(name))
        for name in self.engines:
            self.time.after(self._random.random(), lambda name=name: self._report(name))  # type: ignore[misc]
        for entry in self.entries:
            self.time.after(self._random.random(), lambda entry=entry: self._poll(entry))  # type: ignore[misc]
        self.time.run_until(self.workload.duration_s + self.workload.tail_s)
        return self.records

    def cancel(self, job: EngineJob, backend_server: str) -> None:
        """Cancel a job after the network delay."""
        self.time.after(NETWORK_S, lambda: self.engines[backend_server].cancel(job))

    def local_stop(self, stop: StopVersion) -> None:
        """Take note that an entry stopped a version on its own evidence."""

    def draw_good(self, dispatch: Dispatch, random: Random) -> bool:
        """Return whether an answer of a version is good."""
        chance = self.workload.true_quality(dispatch.model, dispatch.version, self.time.now_s)
        return random.random() < chance

    def draw_rating(self, good: bool, random: Random) -> bool:
        """Return what the rating service says; a fault makes it reject good answers."""
        return good and random.random() < self.workload.rating_fault(self.time.now_s)

    def come_back(self, request: RequestInfo, record: CallerRecord, stream: Stream) -> None:
        """Let a refused caller send its request again."""
        assert record.retry_after_s is not None
        self.time.after(
            record.retry_after_s,
            lambda: self._arrive(stream, request, record.output_tokens, record.returns + 1),
        )

    def _engine(self, number: int) -> FakeEngine:
        return FakeEngine(
            self.time,
            f"engine-{number}",
            self.workload.speed,
            lambda now_s: self.workload.slow_factor(number, now_s),
        )

    def _entry(self, number: int, make_policy: PolicyMaker, seed: int) -> FakeEntry:
        zone = ZONES[number % 3]
        random = Random(f"entry/{number}/{seed}")
        policy = make_policy(random, zone)
        return FakeEntry(self, f"entry-{number}", policy, Random(f"callers/{number}/{seed}"))

    def _next_arrival(self, stream: Stream, after_s: float, random: Random) -> None:
        """Schedule the next arrival of a Poisson process with a changing rate."""
        rate = max(stream.rate(after_s), 1e-9)
        step_s = random.expovariate(rate)
        beyond = step_s > RATE_STEP_S
        at_s = after_s + min(step_s, RATE_STEP_S)
        if at_s <= self.workload.duration_s:
            self.time.at(at_s, lambda: self._arrival(stream, at_s, random, beyond))

    def _arrival(self, stream: Stream, at_s: float, random: Random, beyond: bool) -> None:
        self._next_arrival(stream, at_s, random)
        if beyond or (stream.crashes and self._is_open(stream)):
            return
        output = max(4, round(random.gammavariate(4.0, stream.output_tokens / 4.0)))
        prompt = max(4, round(random.gammavariate(4.0, stream.prompt_tokens / 4.0)))
        estimate = max(4, round(output * random.uniform(0.8, 1.25)))
        prefixes: tuple[str, ...] = ()
        if stream.conversations:
            name = f"{stream.account}/{random.randrange(stream.conversations)}"
            prefixes = tuple(f"{name}/{part}" for part in range(4))
        self._count += 1
        request = RequestInfo(
            f"r{self._count}",
            stream.account,
            stream.work_class,
            stream.model,
            prompt_tokens=prompt,
            expected_output_tokens=estimate,
            prefix_digests=prefixes,
            fingerprint=stream.fingerprint or f"f{self._count}",
        )
        self._arrive(stream, request, output, 0)

    def _is_open(self, stream: Stream) -> bool:
        """Return whether the last request of a stream has no answer yet."""
        mine = [item for item in self.records if item.account == stream.account]
        return bool(mine) and mine[-1].end_s is None

    def _arrive(self, stream: Stream, request: RequestInfo, output: int, returns: int) -> None:
        self._count += 1
        info = RequestInfo(
            f"r{self._count}",
            request.client_account,
            request.work_class,
            request.model,
            prompt_tokens=request.prompt_tokens,
            expected_output_tokens=request.expected_output_tokens,
            prefix_digests=request.prefix_digests,
            fingerprint=request.fingerprint,
        )
        record = CallerRecord(
            info.request_id,
            stream.account,
            stream.work_class,
            self.time.now_s,
            request.prompt_tokens,
            output,
            returns,
            crashes=stream.crashes,
        )
        self.records.append(record)
        self._balancer.choice(self.entries).arrive(info, record, stream)

    def _report(self, name: str) -> None:
        """Announce an engine's load; the entries see it after the lag."""
        engine = self.engines[name]
        self.time.after(REPORT_INTERVAL_S, lambda: self._report(name))
        if not engine.alive:
            self._lose(engine)
            return
        seen, tokens = engine.in_flight, engine.queued_tokens
        self.time.after(self.workload.report_lag_s, lambda: self._announce(name, seen, tokens))

    def _announce(self, name: str, in_flight: int, queued_tokens: int) -> None:
        if not self.engines[name].alive:
            return
        record = replace(self._announced[name], in_flight=in_flight, queued_tokens=queued_tokens)
        self._announced[name] = record
        self.leader.view.apply_backends([record], (), False)
        self._publish()

    def _lose(self, engine: FakeEngine) -> None:
        if engine.identity in self.leader.view.backends:
            self.servers_lost += 1
            self.leader.view.apply_backends((), [engine.identity], False)
            self._publish()
            self.time.after(RESTART_S, engine.restart)

    def _publish(self) -> None:
        self.time.after(PUBLISH_S, self._publish_now)

    def _publish_now(self) -> None:
        for entry in self.entries:
            entry.feed(ViewChanged(self.leader.view))

    def _poll(self, entry: FakeEntry) -> None:
        self.time.after(POLL_INTERVAL_S, lambda: self._poll(entry))
        if isinstance(entry.policy, OutcomePolicy):
            self.leader.take_evidence(entry.policy.drain_evidence(), self.time.now_s)
