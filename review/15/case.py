"""Bodies within a limit of the configuration that is above 8 MiB."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from standins import (  # noqa: E402
    Server,
    configuration,
    encode_response,
    main,
    route,
    service,
)

MIB = 2**20
REQUESTS = 8
"""The rule allows 5 and one in 500."""


class Application(Server):
    async def run(self, request, reader, writer):
        self.record(f"{self.name} runs {request.id}: {len(request.body)} bytes")
        answer = f"{len(request.body)}".encode()
        writer.write(encode_response(200, answer, self.signed(request)))
        await writer.drain()


async def case(lab):
    servers = [Application(f"i-app{n}", lab.record) for n in range(2)]
    routes = [route("sign", "/sign/", "non_idempotent", "app", timeout_ms=8000)]
    limit = 16 * MIB
    document = configuration(1, routes, [service("app")], max_body_bytes=limit)
    await lab.start(document, servers, nodes=2, memory_mb=552)
    size = 9 * MIB if lab.disturbs else 4 * MIB
    broken = []
    for number in range(REQUESTS):
        node = lab.nodes[number % len(lab.nodes)]
        id, answer = await lab.call(
            node, "POST", "/sign/x", b"d" * size, deadline_ms=8000
        )
        if answer.status is not None and 300 <= answer.status < 500:
            broken.append(
                f"DENIED: {id} with {size} bytes got {answer.status}, though "
                f"max_body_bytes is {limit}"
            )
    return broken if len(broken) > 5 else []


main(FOLDER, case)
