"""Refuses requests in quarantine, and lets single ones through as trials."""

from typing import Protocol

from acaciarack.errors import Refusal
from acaciarack.gateway.evidence.fingerprints import Fingerprints
from acaciarack.gateway.evidence.request_quarantine import (
    RequestQuarantine,
    Verdict,
)
from acaciarack.gateway.requests.request_handling import (
    Task,
    refuse_quarantined,
)


class TrialAuthority(Protocol):
    """Decides on trials for all nodes together."""

    async def ask_trial(self, service: str, quarantined: Fingerprints) -> bool:
        """Returns whether a request may be let through as a trial.

        Args:
            service: the service that the request goes to.
            quarantined: the fingerprints in quarantine that it has.
        """
        ...


class QuarantineGate:
    """Checks one request before each time that it is sent.

    A request that was let through as a trial may be sent until a target may
    have run it.
    """

    def __init__(
        self,
        *,
        task: Task,
        quarantine: RequestQuarantine,
        authority: TrialAuthority,
    ) -> None:
        self._task = task
        self._quarantine = quarantine
        self._authority = authority
        self._is_trial = False

    def refuse_early(self) -> Refusal | None:
        """Returns the refusal of a request that is not a trial either."""
        verdict = self._find_verdict()
        if verdict is None or verdict.is_trial_due:
            return None
        return refuse_quarantined(verdict.quarantined, verdict.time_left)

    async def refuse(self) -> Refusal | None:
        """Returns the refusal of a request that would be sent to a target now.

        Asks whether it may be sent as a trial if one is due.
        """
        verdict = self._find_verdict()
        if verdict is None:
            return None
        if verdict.is_trial_due and await self._authority.ask_trial(
            self._task.service.name, verdict.quarantined
        ):
            self._is_trial = True
            self._task.log("request sent as a trial of its quarantine")
            return None
        return refuse_quarantined(verdict.quarantined, verdict.time_left)

    def record_possible_run(self) -> None:
        """Ends the trial: a target may have run the request."""
        self._is_trial = False

    def _find_verdict(self) -> Verdict | None:
        if self._is_trial:
            return None
        return self._quarantine.find_verdict(self._task.fingerprints)
