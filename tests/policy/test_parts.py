"""Queues, plans and server choice."""

from random import Random

from policy_fixtures import ANSWER, SMALL
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.fair_queue import FairQueue
from baobabstream.policy.latency import LatencyEstimates
from baobabstream.policy.plan_choice import Plan, PlanChoice, cheapest_mix_cost
from baobabstream.policy.quality import QualityEstimates
from baobabstream.policy.running import Running
from baobabstream.policy.server_state import ServerStates
from baobabstream.policy.switches import PolicySwitches
from baobabstream.wire.rows import BackendKind, BackendRecord, ClassRow, VersionRow


def waiting(account: str) -> Running:
    plan = Plan(SMALL, None, 0.9, 0.1)
    return Running(RequestInfo("r", account, "answer"), ANSWER, plan, 0.0, 1.0, False)


class FairQueueTest(TestCase):
    """Guards against one account that takes the service of the others."""

    def test_service_follows_the_shares(self) -> None:
        queue = FairQueue()
        for _ in range(300):
            queue.push(waiting("large"), 2.0)
            queue.push(waiting("small"), 1.0)
        served = []
        for _ in range(90):
            head = queue.next_first()[0]
            queue.pop(head)
            served.append(head.request.client_account)
        self.assertThat(abs(served.count("large") - 60), LessThan(4))

    def test_a_newcomer_does_not_wait_for_a_flood(self) -> None:
        queue = FairQueue()
        for _ in range(100):
            queue.push(waiting("flood"), 1.0)
        for _ in range(10):
            queue.pop(queue.next_first()[0])
        self.assertThat(queue.ahead("family", 1.0), LessThan(3))
        queue.push(waiting("family"), 1.0)
        self.assertThat(queue.next_first()[0].request.client_account, Equals("family"))


class PlanChoiceTest(TestCase):
    """Guards against targets that are missed, or met at too high a cost."""

    def test_the_mix_meets_the_target_near_the_least_cost(self) -> None:
        random = Random(2)
        quality = QualityEstimates()
        rows = [VersionRow("small", "1", 0.1, 0.8), VersionRow("large", "1", 1.0, 0.95)]
        true = {"small": 0.8, "large": 0.95}
        target = ClassRow("answer", 0.88, 500.0, 4000.0)
        switches = PolicySwitches()
        choice = PlanChoice(quality, LatencyEstimates(), ServerStates(random), random, switches)
        good, cost = 0, 0.0
        for number in range(6000):
            plan = choice.choose(target, rows, 100, number * 0.1)
            hit = random.random() < true[plan.first.model]
            quality.record_rating("answer", plan.key, hit)
            quality.record_delivered("answer", hit)
            good += hit
            cost += plan.first.cost_per_1k_tokens
        plans = [Plan(row, None, true[row.model], row.cost_per_1k_tokens) for row in rows]
        self.assertThat(0.88 - 0.005, LessThan(good / 6000))
        self.assertThat(cost / 6000, LessThan(1.1 * cheapest_mix_cost(plans, 0.88)))


class ServerStateTest(TestCase):
    """Guards against servers that are shunned for ever."""

    def states(self) -> ServerStates:
        states = ServerStates(Random(1))
        record = BackendRecord("e", 1, BackendKind.ENGINE, "", "z", slots=16, in_flight=12)
        states.apply_records([record], set())
        return states

    def test_an_old_measurement_yields_to_the_mean(self) -> None:
        states = self.states()
        states.record_token_gap("e", 10 * states.mean_token_gap_s, 1.0)
        fresh = states.expected_token_gap_s(states["e"], 1.0)
        self.assertThat(states.expected_token_gap_s(states["e"], 30.0), LessThan(fresh / 4))
