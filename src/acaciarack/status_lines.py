"""Checks the status lines of responses.

The HTTP library takes any three digits for a status and any version for that of
HTTP/1.1. RFC 9110 gives no meaning to a status outside 100 to 599, nor RFC 9112
to a version other than HTTP/1.
"""

import re

import httpcore

_VERSION = re.compile(rb"HTTP/1\.\d")
_LOWEST_FINAL_STATUS = 200
_HIGHEST_STATUS = 599


def check_status_line(response: httpcore.Response) -> None:
    """Checks that the status line of a final response has a meaning.

    Raises:
        httpcore.RemoteProtocolError: it has none; the text shows the line.
    """
    version = response.extensions["http_version"]
    is_final = _LOWEST_FINAL_STATUS <= response.status <= _HIGHEST_STATUS
    if is_final and _VERSION.fullmatch(version):
        return
    reason = response.extensions.get("reason_phrase", b"")
    line = b"%b %03d %b" % (version, response.status, reason)
    raise httpcore.RemoteProtocolError(f"status line without meaning: {line!r}")
