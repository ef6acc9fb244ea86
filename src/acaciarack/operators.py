"""Serves the operators' RPCs of ``operators.proto``."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from acaciarack._rpc_objects import (
    AUTHOR,
    NodeRpcs,
    ObjectRpcs,
    OrganisationRpcs,
    TargetRpcs,
)
from acaciarack._rpc_reports import ConfigurationRpcs, OrderRpcs, ReportRpcs
from acaciarack._schema import operators_connect as rpc
from acaciarack._schema import operators_pb as pb
from acaciarack.change_messages import ObjectKind
from acaciarack.desks import (
    BurnReporter,
    ExplanationSource,
    NodeDirectory,
    OrderDesk,
    Publisher,
)
from acaciarack.settings import OperatorKey
from acaciarack.web import Mount

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
_BEARER = "bearer "


class Authentication:
    """Lets listed operators in and remembers who calls."""

    def __init__(self, *, keys: Iterable[OperatorKey]) -> None:
        self._keys = tuple(keys)

    async def intercept_unary(
        self,
        call_next: Callable[[Any, Any], Awaitable[Any]],
        request: Any,
        ctx: Any,
        /,
    ) -> Any:
        """Serves a call if its key is listed."""
        header = ctx.request_headers.get("authorization", "")
        name = self._find_operator(header)
        if name is None:
            raise ConnectError(
                Code.UNAUTHENTICATED,
                "the header 'authorization: Bearer KEY' with a listed"
                " operator's key is required",
            )
        token = AUTHOR.set(name)
        try:
            return await call_next(request, ctx)
        finally:
            AUTHOR.reset(token)

    def _find_operator(self, header: str) -> str | None:
        if not header.lower().startswith(_BEARER):
            return None
        key = header[len(_BEARER) :].strip()
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = None
        for listed in self._keys:
            if hmac.compare_digest(listed.key_hash, digest):
                found = listed.name
        return found


def build_operator_mounts(
    *,
    publisher: Publisher,
    keys: Iterable[OperatorKey],
    directory: NodeDirectory | None = None,
    orders: OrderDesk | None = None,
    explanations: ExplanationSource | None = None,
    burn: BurnReporter | None = None,
) -> tuple[Mount, ...]:
    """Builds one mounted application for each service of the schema.

    Args:
        publisher: the configuration store.
        keys: the operators who may call.
        directory: lists the nodes.
        orders: carries out orders.
        explanations: remembers requests.
        burn: reports on error budgets.
    """
    objects = _build_object_services(publisher)
    nodes = NodeRpcs(publisher=publisher, directory=directory)
    reports = ReportRpcs(explanations=explanations, burn=burn)
    services: list[tuple[Any, Any]] = [
        *objects,
        (rpc.NodesASGIApplication, nodes),
        (
            rpc.ConfigurationsASGIApplication,
            ConfigurationRpcs(publisher=publisher),
        ),
        (
            rpc.OrdersASGIApplication,
            OrderRpcs(publisher=publisher, desk=orders),
        ),
        (rpc.ReportsASGIApplication, reports),
    ]
    authentication = Authentication(keys=keys)
    return tuple(
        _build_mount(application, service, authentication)
        for application, service in services
    )


def _build_object_services(publisher: Publisher) -> list[tuple[Any, Any]]:
    return [
        (
            rpc.OrganisationsASGIApplication,
            OrganisationRpcs(
                publisher=publisher,
                kind=ObjectKind.ORGANISATION,
                message=pb.Organisation,
                page=pb.OrganisationList,
            ),
        ),
        (
            rpc.ServicesASGIApplication,
            ObjectRpcs(
                publisher=publisher,
                kind=ObjectKind.SERVICE,
                message=pb.Service,
                page=pb.ServiceList,
            ),
        ),
        (
            rpc.ModelChoicesASGIApplication,
            ObjectRpcs(
                publisher=publisher,
                kind=ObjectKind.MODEL_CHOICE,
                message=pb.ModelChoice,
                page=pb.ModelChoiceList,
            ),
        ),
        (
            rpc.RoutesASGIApplication,
            ObjectRpcs(
                publisher=publisher,
                kind=ObjectKind.ROUTE,
                message=pb.Route,
                page=pb.RouteList,
            ),
        ),
        (
            rpc.TargetsASGIApplication,
            TargetRpcs(
                publisher=publisher,
                kind=ObjectKind.TARGET,
                message=pb.Target,
                page=pb.TargetList,
            ),
        ),
    ]


def _build_mount(
    application: Any, service: Any, authentication: Authentication
) -> Mount:
    app = application(
        service,
        interceptors=(authentication,),
        read_max_bytes=MAX_MESSAGE_BYTES,
    )
    return Mount(prefix=f"{app.path}/", app=app)
