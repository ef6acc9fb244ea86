"""Options of connections to targets and of tunnels between nodes."""

import socket

_IDLE_SECONDS = 1
_INTERVAL_SECONDS = 1
_PROBES = 2
_UNACKNOWLEDGED_MS = 2500
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)
"""With these options, a connection fails within about 3 s after the other end
stops responding. ``TCP_USER_TIMEOUT`` also ends the probes, whatever their
number, so a target that is silent for a second or two keeps its connections."""
