"""Windows, causes, pages and the RPC of the burn report."""

import io
import json
import re
from datetime import timedelta
from html.parser import HTMLParser
from unittest import mock

import trio
from cleo.io.outputs.stream_output import StreamOutput
from hypothesis import given
from hypothesis import strategies as st

from acaciarack._commands_client import KEY_VARIABLE
from acaciarack._schema import operators_pb as pb
from acaciarack.burn import compute_period
from acaciarack.burn_counts import OBJECTIVES, Counts, Row
from acaciarack.burn_minute_counter import describe_cause, evaluate_objectives
from acaciarack.burn_page import (
    MAX_SHOWN_BUDGETS,
    render_burn_text,
    render_page,
)
from acaciarack.burn_windows import (
    FAST,
    SLOW,
    WindowSums,
    build_budgets,
    is_burning,
)
from acaciarack.commands import run_command
from acaciarack.configuration import Objectives
from acaciarack.conversion import build_message
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.operator_interfaces import (
    Budget,
    BurnCause,
    BurnReport,
    BurnWindow,
)
from tests import operator_server
from tests.burn_nodes import MINUTE, BurnNodes, make_observation
from tests.operator_server import KEY, serve_operators
from tests.support import EPOCH, TestCase

BASE_MINUTE = int(EPOCH.timestamp()) // 60
DAY = timedelta(days=1)
SECOND = timedelta(seconds=1)
HOSTILE = '<script src="http://evil.example/x.js">&\'"</script>'


def make_refusal(code):
    return Refusal(code=code, outcome=RunOutcome.NOT_RUN, detail="")


def make_counts(age, requests, bad):
    """Builds counts of a minute that ended ``age`` minutes before ``EPOCH``."""
    row = Row(
        service="s",
        organisation="o",
        requests=(requests,) * 5,
        bad=(bad,) * 5,
    )
    return Counts(minute=BASE_MINUTE - 1 - age, rows=(row,))


def make_windows(short, long, pair, requests=100):
    """Builds windows with burn rates for ``pair`` and 0 for the other pair."""
    rates = {FAST.short: 0, FAST.long: 0, SLOW.short: 0, SLOW.long: 0}
    rates |= {pair.short: short, pair.long: long}
    return [
        BurnWindow(length=length, requests=requests, bad=0, burn_rate=rate)
        for length, rate in rates.items()
    ]


class WindowsTest(TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 1600), st.integers(1, 9), st.booleans())
        ),
        st.floats(0.5, 0.999),
    )
    def test_windows_sum_the_minutes_that_overlap_them(self, minutes, good):
        sums = WindowSums(now=EPOCH, period=DAY)
        for age, requests, is_bad in minutes:
            sums.add(make_counts(age, requests, requests * is_bad))
        objectives = Objectives(good_fraction=good)
        budgets = list(
            build_budgets(sums, find_objectives=lambda _: objectives)
        )
        inside = [item for item in minutes if item[0] * MINUTE < DAY]
        self.assertEqual(5 if inside else 0, len(budgets))
        for budget in budgets:
            self.assertEqual(
                [5, 30, 60, 360, 1440],
                [window.length / MINUTE for window in budget.windows],
            )
            for window in budget.windows:
                found = [m for m in minutes if m[0] * MINUTE < window.length]
                bad = sum(m[1] for m in found if m[2])
                total = sum(m[1] for m in found)
                self.assertEqual((total, bad), (window.requests, window.bad))
                rate = bad / max(1, total) / (1 - good)
                self.assertAlmostEqual(rate, window.burn_rate)
            self.assertAlmostEqual(
                1 - budget.windows[-1].burn_rate, budget.remaining
            )

    def test_both_windows_of_a_pair_must_exceed_the_rate(self):
        for pair in (FAST, SLOW):
            over, under = pair.rate * 1.01, pair.rate * 0.99
            for short, long in ((over, under), (under, over), (under, under)):
                self.assertFalse(is_burning(make_windows(short, long, pair)))
            self.assertTrue(is_burning(make_windows(over, over, pair)))
            few = make_windows(over, over, pair, requests=9)
            self.assertFalse(is_burning(few))

    def test_burning_ends_soon_after_its_cause(self):
        async def run():
            deployment = BurnNodes(clock=self.make_clock(), number=1)
            node = deployment.nodes[0]
            burning = []
            for minute in range(40):
                refusal = None
                if 10 <= minute < 20:
                    refusal = make_refusal(RefusalCode.NO_TARGET)
                for number in range(5):
                    name = f"{minute}-{number}"
                    node.component.observe(
                        make_observation(name, refusal=refusal)
                    )
                report = await node.component.reporter.report(
                    service="", organisation="clinic"
                )
                found = {item.objective: item for item in report.budgets}
                burning.append(found["refusal"].burning)
                await trio.sleep(60)
                await deployment.run_minute()
            first, last = burning.index(True), 39 - burning[::-1].index(True)
            self.assertTrue(11 <= first <= 18, burning)
            self.assertTrue(20 <= last < 40, burning)
            self.assertTrue(all(burning[first : last + 1]), burning)
            self.assertFalse(found["stall"].burning)
            cause = found["refusal"].causes[0]
            self.assertEqual(("no_target", 50), (cause.cause, cause.requests))
            self.assertEqual(("19-2", "19-3", "19-4"), cause.request_ids)

        self.run_trio(run)

    def test_the_period_is_bounded_by_the_retention(self):
        hours = {2: 6, 12: 8, 24: 20, 48: 24, 700: 24}
        for retention, period in hours.items():
            found = compute_period(timedelta(hours=retention))
            self.assertEqual(timedelta(hours=period), found)

    def test_missing_and_stale_streams_are_reported(self):
        async def run():
            deployment = BurnNodes(clock=self.make_clock(), number=2)
            await deployment.append_all_pending()
            reporter = deployment.nodes[1].component.reporter
            for minutes, missing in ((0, ()), (4, ("oslo-a",))):
                await trio.sleep(60 * minutes)
                report = await reporter.report(service="", organisation="")
                self.assertEqual(missing, report.missing)
            deployment.log.faults.down = True
            deployment.nodes[1].component.observe(make_observation("x"))
            report = await reporter.report(service="", organisation="")
            self.assertEqual(("oslo-a",), report.missing)
            self.assertEqual(5, len(report.budgets))
            for name in ("assistant", "other"):
                report = await reporter.report(service=name, organisation="")
                expected = 5 * (name == "assistant")
                self.assertEqual(expected, len(report.budgets))

        self.run_trio(run)


class ObjectivesTest(TestCase):
    def evaluate_objectives(self, **fields):
        missed = evaluate_objectives(
            make_observation("x", **fields), Objectives()
        )
        return {name for name in missed if missed[name]}, set(missed)

    def test_each_objective_has_its_own_misses(self):
        whole = set(OBJECTIVES)
        refused = make_refusal(RefusalCode.OVERLOADED)
        for missed, evaluated, fields in (
            (set(), whole, {}),
            ({"ttft"}, whole, {"ttft": 2 * SECOND}),
            ({"stall"}, whole, {"stall": 2 * SECOND}),
            (set(), whole, {"late_gaps": 4}),
            ({"token_gap"}, whole, {"late_gaps": 5}),
            ({"preemption"}, whole, {"preemptions": 1}),
            ({"refusal"}, whole, {"refusal": refused}),
            ({"refusal"}, {"refusal"}, {"refusal": refused, "ttft": None}),
            (set(), {"refusal"}, {"ttft": None}),
            (set(), whole - {"token_gap"}, {"tokens": 1}),
            (set(), {"stall", "token_gap"}, {"resumed": True}),
        ):
            self.assertEqual(
                (missed, evaluated), self.evaluate_objectives(**fields), fields
            )

    def test_caller_errors_spend_no_budget(self):
        refusal = make_refusal(RefusalCode.NOT_FOUND)
        found = self.evaluate_objectives(refusal=refusal, ttft=None)
        self.assertEqual((set(), set()), found)

    def test_causes_name_the_target_or_a_prior_failure(self):
        observation = make_observation("x")
        self.assertEqual("target e1", describe_cause(observation, "stall"))
        waited = make_observation("x", ttft=30 * SECOND / 1000)
        self.assertEqual("waited for a target", describe_cause(waited, "ttft"))
        retried = make_observation("x", attempts=observation.attempts * 2)
        for objective, cause in (
            ("ttft", "retried after target_failed"),
            ("preemption", "target e1"),
        ):
            self.assertEqual(cause, describe_cause(retried, objective))


class _PageParser(HTMLParser):
    def __init__(self):
        super().__init__()
        self.tags = []
        self.texts = []

    def handle_starttag(self, tag, attrs):
        self.tags.append((tag, dict(attrs)))

    def handle_data(self, data):
        self.texts.append(data)


def make_budget(number=0, *, burning=True):
    return Budget(
        service=HOSTILE,
        organisation=f"{HOSTILE}{number}",
        objective="stall",
        good_fraction=0.95,
        remaining=-0.5 if burning else 0.75,
        burning=burning,
        windows=tuple(make_windows(7.0, 8.0, FAST)),
        causes=(
            BurnCause(cause=HOSTILE, requests=3, request_ids=("q1", HOSTILE)),
        ),
    )


def make_report(budgets):
    return BurnReport(time=EPOCH, budgets=budgets, missing=(HOSTILE,))


class PageTest(TestCase):
    def check(self, text):
        page = _PageParser()
        page.feed(text)
        tags = {tag for tag, _ in page.tags}
        self.assertEqual(set(), tags & {"script", "link", "img", "iframe"})
        names = {name for _, attrs in page.tags for name in attrs}
        references = {"src", "href", "xlink:href", "srcset", "action", "style"}
        self.assertEqual(set(), names & references)
        self.assertIsNone(re.search(r"@import|url\(", text))
        self.assertIn(HOSTILE, "".join(page.texts))
        return page

    def test_a_page_is_self_contained_and_escapes_names(self):
        budgets = (make_budget(burning=False), make_budget())
        message = build_message(pb.BurnReport, make_report(budgets))
        page = self.check(render_page(message))
        states = [
            attrs["class"] for tag, attrs in page.tags if tag == "tr" and attrs
        ]
        self.assertEqual(["burning", "calm"], states)
        bars = [tag for tag, _ in page.tags if tag == "rect"]
        self.assertEqual(8, len(bars))
        text = render_burn_text(message)
        for part in ("BURNING, -50.0%", "ok, 75.0%", "5 min: burn rate 7"):
            self.assertIn(part, text)

    def test_a_page_shows_the_worst_of_many(self):
        budgets = tuple(
            make_budget(number, burning=number == 900) for number in range(1000)
        )
        message = build_message(pb.BurnReport, make_report(budgets))
        page = render_page(message)
        self.assertEqual(MAX_SHOWN_BUDGETS, page.count("<tr class="))
        self.assertEqual(1, page.count('<tr class="burning'))
        self.assertEqual(
            render_page(build_message(pb.BurnReport, BurnReport(time=EPOCH))),
            render_page(pb.BurnReport(time=message.time)),
        )

    def test_the_command_shows_text_json_and_html(self):
        report = make_report((make_budget(),))

        async def make(services, *, service, organisation):
            return report

        patch = mock.patch.object(
            operator_server.MemoryServices, "report", make
        )
        environment = mock.patch.dict("os.environ", {KEY_VARIABLE: KEY})
        with patch, environment, serve_operators() as port:
            texts = {
                name: self.run_report(port, name)
                for name in ("text", "json", "html")
            }
        self.check(texts["html"])
        message = build_message(pb.BurnReport, report)
        self.assertEqual(render_page(message), texts["html"].rstrip("\n"))
        self.assertEqual(render_burn_text(message), texts["text"].rstrip("\n"))
        budget = json.loads(texts["json"])["budgets"][0]
        self.assertEqual(HOSTILE, budget["service"])

    def run_report(self, port, name):
        out, err = io.StringIO(), io.StringIO()
        words = ["report", "burn", "--address", f"127.0.0.1:{port}"]
        code = run_command(
            [*words, "--output", name],
            output=StreamOutput(out),
            error_output=StreamOutput(err),
        )
        self.assertEqual((0, ""), (code, err.getvalue()))
        return out.getvalue()
