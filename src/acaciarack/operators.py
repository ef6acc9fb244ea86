"""Serves the operators' RPCs of ``operators.proto``."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from acaciarack._rpc_objects import (
    CALLING_OPERATOR,
    NodeRpcs,
    ObjectRpcs,
    OrganisationRpcs,
    TargetRpcs,
)
from acaciarack._rpc_reports import ConfigurationRpcs, OrderRpcs, ReportRpcs
from acaciarack._schema import operators_connect as rpc
from acaciarack._schema import operators_pb as pb
from acaciarack.change_messages import ObjectKind
from acaciarack.operator_interfaces import (
    BurnReporter,
    ConfigurationPublisher,
    ExplanationSource,
    NodeDirectory,
    OrderManager,
)
from acaciarack.settings import OperatorKey
from acaciarack.web import Mount

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
"""Maximum size of an operator's request message."""
_BEARER = "bearer "


class AuthenticationInterceptor:
    """Authenticates operators by key and records the calling operator."""

    def __init__(self, *, keys: Iterable[OperatorKey]) -> None:
        self._keys = tuple(keys)

    async def intercept_unary(
        self,
        call_next: Callable[[Any, Any], Awaitable[Any]],
        request: Any,
        ctx: Any,
        /,
    ) -> Any:
        """Serves a call if it carries a listed operator's key.

        Raises:
            ConnectError: the key is missing or not listed.
        """
        header = ctx.request_headers.get("authorization", "")
        operator = self._find_operator(header)
        if operator is None:
            raise ConnectError(
                Code.UNAUTHENTICATED,
                "the header 'authorization: Bearer KEY' with a listed"
                " operator's key is required",
            )
        token = CALLING_OPERATOR.set(operator)
        try:
            return await call_next(request, ctx)
        finally:
            CALLING_OPERATOR.reset(token)

    def _find_operator(self, header: str) -> str | None:
        if not header.lower().startswith(_BEARER):
            return None
        key = header[len(_BEARER) :].strip()
        digest = hashlib.sha256(key.encode()).hexdigest()
        operator = None
        for listed in self._keys:
            if hmac.compare_digest(listed.key_hash, digest):
                operator = listed.name
        return operator


def build_operator_mounts(
    *,
    publisher: ConfigurationPublisher,
    keys: Iterable[OperatorKey],
    directory: NodeDirectory | None = None,
    orders: OrderManager | None = None,
    explanations: ExplanationSource | None = None,
    burn: BurnReporter | None = None,
) -> tuple[Mount, ...]:
    """Builds one mounted application for each RPC service of the schema.

    The RPCs of an absent component fail with ``UNIMPLEMENTED``.

    Args:
        publisher: the configuration store.
        keys: the operators who may call, with the digests of their keys.
        directory: lists the nodes.
        orders: executes orders to targets.
        explanations: finds finished requests.
        burn: makes the burn report.
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
            OrderRpcs(publisher=publisher, manager=orders),
        ),
        (rpc.ReportsASGIApplication, reports),
    ]
    authentication = AuthenticationInterceptor(keys=keys)
    return tuple(
        _build_mount(application, service, authentication)
        for application, service in services
    )


def _build_object_services(
    publisher: ConfigurationPublisher,
) -> list[tuple[Any, Any]]:
    return [
        (
            rpc.OrganisationsASGIApplication,
            OrganisationRpcs(
                publisher=publisher,
                kind=ObjectKind.ORGANISATION,
                message_type=pb.Organisation,
                page_type=pb.OrganisationList,
            ),
        ),
        (
            rpc.ServicesASGIApplication,
            ObjectRpcs(
                publisher=publisher,
                kind=ObjectKind.SERVICE,
                message_type=pb.Service,
                page_type=pb.ServiceList,
            ),
        ),
        (
            rpc.ModelChoicesASGIApplication,
            ObjectRpcs(
                publisher=publisher,
                kind=ObjectKind.MODEL_CHOICE,
                message_type=pb.ModelChoice,
                page_type=pb.ModelChoiceList,
            ),
        ),
        (
            rpc.RoutesASGIApplication,
            ObjectRpcs(
                publisher=publisher,
                kind=ObjectKind.ROUTE,
                message_type=pb.Route,
                page_type=pb.RouteList,
            ),
        ),
        (
            rpc.TargetsASGIApplication,
            TargetRpcs(
                publisher=publisher,
                kind=ObjectKind.TARGET,
                message_type=pb.Target,
                page_type=pb.TargetList,
            ),
        ),
    ]


def _build_mount(
    application: Any, service: Any, authentication: AuthenticationInterceptor
) -> Mount:
    app = application(
        service,
        interceptors=(authentication,),
        read_max_bytes=MAX_MESSAGE_BYTES,
    )
    return Mount(prefix=f"{app.path}/", app=app)
