from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.budgets import RetryBudget, RetryBudgetSettings
from acaciarack.fairness import FairQueue, QueueEntry, compute_priority
from tests.support import TestCase

SHARES = {"a": 1.0, "b": 2.0, "c": 0.5}


def build_entry(number, organisation, cost):
    return QueueEntry(
        id=str(number),
        organisation=organisation,
        share=SHARES[organisation],
        cost=cost,
        priority=0,
        item=None,
    )


class FairQueueTest(TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(1, 50)),
            min_size=1,
            max_size=60,
        ),
        st.lists(st.integers(0, 59), max_size=10),
    )
    def test_backlogged_organisations_are_served_by_share(
        self, submitted, discarded
    ):
        queue = FairQueue()
        for number, (organisation, cost) in enumerate(submitted):
            queue.push(build_entry(number, organisation, cost))
        for number in discarded:
            queue.discard(str(number))
        max_weighted_cost = {
            name: max(
                [cost for each, cost in submitted if each == name], default=0
            )
            / SHARES[name]
            for name in SHARES
        }
        served = dict.fromkeys(SHARES, 0.0)
        while len(queue):
            busy = [name for name in SHARES if queue.count(name)]
            for one in busy:
                for other in busy:
                    # The bound of start-time fair queueing.
                    self.assertTrue(
                        abs(served[one] - served[other])
                        <= max_weighted_cost[one]
                        + max_weighted_cost[other]
                        + 1e-6
                    )
            head = next(queue.iterate_heads())
            ahead = queue.sum_cost_before(head.id)
            self.assertTrue(ahead <= sum(cost for _, cost in submitted))
            entry = queue.dequeue(head.id)
            served[entry.organisation] += entry.cost / entry.share
        self.assertEqual(0, queue.sum_cost())

    def test_new_organisation_is_served_before_a_long_backlog(self):
        queue = FairQueue()
        for number in range(20):
            queue.push(build_entry(number, "a", 10))
        for _ in range(5):
            queue.dequeue(next(queue.iterate_heads()).id)
        queue.push(build_entry(99, "b", 10))
        self.assertEqual(0, queue.sum_cost_before("99"))
        self.assertEqual(140, queue.sum_cost_before("19") - 10)
        self.assertEqual("99", next(queue.iterate_heads()).id)


class PriorityTest(TestCase):
    @given(st.integers(0, 10**6), st.integers(0, 10**6))
    def test_generated_tokens_raise_the_priority(self, one, other):
        low, high = sorted((one, other))
        first = compute_priority(
            generated_tokens=low, waited_fraction=0, is_over_share=False
        )
        second = compute_priority(
            generated_tokens=high, waited_fraction=0, is_over_share=False
        )
        self.assertTrue(second <= first)


class RetryBudgetTest(TestCase):
    @given(st.lists(st.booleans(), max_size=200))
    def test_retries_are_a_fraction_of_successes(self, events):
        settings_ = RetryBudgetSettings(fraction=0.2, capacity=5)
        budget = RetryBudget(settings=settings_)
        successes = 0
        retries = 0
        for is_success in events:
            if is_success:
                budget.record_success()
                successes += 1
            else:
                retries += budget.consume()
            self.assertTrue(retries <= 5 + 0.2 * successes + 1e-9)
