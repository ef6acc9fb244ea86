"""Ends the requests that are still open when the node has to stop."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio


class OpenRequests:
    """The requests that have not got their final response yet."""

    def __init__(self) -> None:
        self._scopes: set[trio.CancelScope] = set()
        self._has_ended = False

    @contextmanager
    def track(self) -> Iterator[trio.CancelScope]:
        """Serves a request within a scope that ``end_all`` cancels.

        If the scope is cancelled, the caller of this function sends the final
        response. Later requests are cancelled at their first wait.
        """
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            if self._has_ended:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def end_all(self) -> int:
        """Cancels all open requests; returns their number."""
        self._has_ended = True
        for scope in self._scopes:
            scope.cancel()
        return len(self._scopes)
