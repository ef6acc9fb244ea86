"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import socket
import struct


async def read_head(reader):
    """Returns the first line and the headers; ``None`` at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Returns method, target, headers and body; ``None`` at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def build_response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Answer:
    """What a client saw.

    Attributes:
        status: the HTTP status; 0 if the connection ended without a head.
        is_whole: whether the answer ended as its framing demands.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False

    @property
    def event_ids(self):
        return [
            int(line[3:])
            for line in self.body.decode("latin-1").split("\n")
            if line.startswith("id:")
        ]


async def send_request(
    host, port, method, target, headers, body=b"", *, timeout, on_data=None
):
    """Sends one request on a new connection; returns the ``Answer``."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(reader, answer, on_data)
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer, on_data):
    head = await read_head(reader)
    if head is None:
        return
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if on_data is not None and size:
                on_data(answer)
            if not size:
                answer.is_whole = True
                return
    length = int(answer.headers.get("content-length", "0"))
    answer.body = await reader.readexactly(length)
    answer.is_whole = True
