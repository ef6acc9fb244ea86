"""Requests with an empty query, and with a method in lower case."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-3"))

from standins import (  # noqa: E402
    PROMISES,
    Server,
    configuration,
    main,
    route,
    service,
)

REQUESTS = [
    ("GET", "/look/parts?"),
    ("POST", "/sign/drawing-7?"),
    ("patch", "/sign/drawing-7"),
    ("purge", "/sign/drawing-7"),
]
USUAL_REQUESTS = [
    ("GET", "/look/parts?page=2"),
    ("POST", "/sign/drawing-7"),
    ("PATCH", "/sign/drawing-7"),
    ("PURGE", "/sign/drawing-7"),
]


async def case(lab):
    servers = [Server(f"i-app{n}", lab.record) for n in range(2)]
    routes = [
        route("sign", "/sign/", "non_idempotent", "app"),
        route("look", "/look/", "idempotent", "app", max_attempts=2),
    ]
    document = configuration(1, routes, [service("app")])
    await lab.start(document, servers, nodes=2)
    broken = []
    for node in lab.nodes:
        for method, target in REQUESTS if lab.disturbs else USUAL_REQUESTS:
            body = b"" if method == "GET" else b"approved"
            id, answer = await lab.call(node, method, target, body)
            for server in servers:
                for _, run in server.runs:
                    if run.id == id and (run.method, run.target) != (
                        method,
                        target,
                    ):
                        broken.append(
                            f"UNASKED: {id} was sent as {method} {target} and "
                            f"ran at {server.name} as {run.method} {run.target}"
                        )
            if answer.status not in (200, *PROMISES):
                lab.record(f"{id} got {answer.status}")
    return broken


main(FOLDER, case)
