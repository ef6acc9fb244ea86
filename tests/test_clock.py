from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from acaciarack.clock import ManualClock, start_stopwatch
from tests.support import EPOCH, TestCase


class ManualClockTest(TestCase):
    @given(st.lists(st.timedeltas(timedelta(), timedelta(days=1)), max_size=9))
    def test_advances_add_up(self, steps):
        clock = ManualClock(epoch=EPOCH)
        for step in steps:
            clock.advance(step)
        self.assertEqual(sum(steps, timedelta()), clock.elapsed())
        self.assertEqual(EPOCH + clock.elapsed(), clock.now())

    def test_moving_back_is_refused(self):
        clock = ManualClock(epoch=EPOCH)
        self.assertRaises(ValueError, clock.advance, timedelta(seconds=-1))


class SteadyClockTest(TestCase):
    def test_sleep_moves_both_times(self):
        clock = self.make_clock()

        async def sleep_and_measure():
            stopwatch = start_stopwatch(clock)
            start = clock.now()
            await clock.sleep(timedelta(seconds=90))
            return stopwatch(), clock.now() - start

        measured = self.run_trio(sleep_and_measure)
        ninety = timedelta(seconds=90)
        self.assertEqual((ninety, ninety), measured)
