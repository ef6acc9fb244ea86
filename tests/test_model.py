from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack_bench.model import EngineModel, EngineSettings, Generation
from tests.support import TestCase

SMALL_ENGINE = EngineSettings(
    capacity_tokens=200,
    max_running=4,
    max_prefill_tokens=32,
    prefix_cache_tokens=64,
    block_tokens=8,
)
GENERATIONS = st.lists(
    st.tuples(
        st.integers(1, 60),  # prompt
        st.integers(1, 130),  # output
        st.integers(-1, 1),  # priority
        st.integers(0, 5),  # steps before its arrival
        st.integers(0, 3),  # number of the shared prefix
    ),
    min_size=1,
    max_size=10,
)


def run_generations(specs):
    """Runs generations to their end; returns all step results and the load."""
    model = EngineModel(settings=SMALL_ENGINE, name="e", seed=1)
    now = timedelta()
    results = []
    for number, (prompt, output, priority, delay, prefix) in enumerate(specs):
        for _ in range(delay):
            results.append(model.step())
            now += results[-1].duration
        generation = Generation(
            id=str(number),
            prompt_tokens=prompt,
            output_tokens=output,
            priority=priority,
            prefix_hashes=tuple(
                prefix * 100 + block for block in range(prompt // 8)
            ),
        )
        model.submit(generation, now)
    while model.has_work():
        results.append(model.step())
        load = model.read_load()
        assert load.used_tokens <= load.capacity_tokens
        assert load.running <= SMALL_ENGINE.max_running
    return results, model.read_load()


class EngineModelTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(GENERATIONS)
    def test_each_generation_gets_its_tokens_within_memory(self, specs):
        results, load = run_generations(specs)
        self.assertEqual((0, 0), (load.used_tokens, load.running))
        tokens = [token for result in results for token in result.tokens]
        truncated = {name for result in results for name in result.truncated}
        finished = [name for result in results for name in result.finished]
        self.assertEqual(len(specs), len(finished) + len(truncated))
        for number, (prompt, output, *_) in enumerate(specs):
            name = str(number)
            if name in truncated:
                self.assertTrue(prompt + output > SMALL_ENGINE.capacity_tokens)
            else:
                self.assertEqual(output, tokens.count(name))

    @settings(derandomize=True, deadline=None, max_examples=20)
    @given(GENERATIONS)
    def test_equal_seeds_give_equal_results(self, specs):
        self.assertEqual(run_generations(specs), run_generations(specs))

    def test_lowest_priority_generation_is_preempted_and_recomputed(self):
        results, load = run_generations([(60, 90, 1, 0, 0), (60, 90, 0, 0, 1)])
        preempted = [name for result in results for name in result.preempted]
        self.assertEqual({"0"}, set(preempted))
        self.assertEqual(load.preemptions, len(preempted))

    def test_a_cached_prefix_is_computed_once(self):
        first, _ = run_generations([(56, 1, 0, 0, 2)])
        both, _ = run_generations([(56, 1, 0, 0, 2), (56, 1, 0, 2, 2)])
        self.assertEqual(2, len(first))
        self.assertEqual(3, len(both))
