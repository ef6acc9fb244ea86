"""The RPCs for whole configurations, orders, explanations and reports."""

from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from protobuf import Oneof

from acaciarack._rpc_errors import (
    raise_faults,
    raise_not_found,
    raise_refusal,
    require_component,
    require_edits,
    require_published,
)
from acaciarack._rpc_objects import CALLING_OPERATOR
from acaciarack._schema import operators_pb as pb
from acaciarack.change_messages import (
    Edit,
    ObjectKind,
    get_objects,
    get_type,
)
from acaciarack.configuration import Configuration
from acaciarack.conversion import ConversionError, build_message, read_message
from acaciarack.errors import Refusal
from acaciarack.operator_interfaces import (
    BurnReporter,
    ConfigurationPublisher,
    ExplanationSource,
    OrderManager,
    OrderRequest,
)

DEFAULT_ORDER_LIMIT = 100
"""Maximum number of listed orders if the request sets no limit."""
_MESSAGE_TYPES: dict[ObjectKind, type[Any]] = {
    ObjectKind.ORGANISATION: pb.Organisation,
    ObjectKind.SERVICE: pb.Service,
    ObjectKind.MODEL_CHOICE: pb.ModelChoice,
    ObjectKind.ROUTE: pb.Route,
    ObjectKind.TARGET: pb.Target,
    ObjectKind.NODE: pb.Node,
}


class ConfigurationRpcs:
    """The RPCs for drafts, the current configuration and its history."""

    def __init__(self, *, publisher: ConfigurationPublisher) -> None:
        self._publisher = publisher

    async def validate(self, request: Any, ctx: Any, /) -> pb.ValidationReply:
        """Validates a draft without publishing it."""
        edits = _read_edits(request)
        version = self._publisher.current().version
        result = self._publisher.validate(edits)
        if result is None:
            return pb.ValidationReply(version=version)
        faults = [build_message(pb.Fault, fault) for fault in result.faults]
        if not faults:
            faults = [pb.Fault(found=result.reason)]
        return pb.ValidationReply(faults=faults, version=version)

    async def publish(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Publishes a draft."""
        edits = _read_edits(request)
        base = request.base_version or self._publisher.current().version
        result = await self._publisher.publish(
            edits, base, CALLING_OPERATOR.get()
        )
        return pb.ChangeReply(version=require_published(result))

    async def get(self, request: Any, ctx: Any, /) -> pb.Configuration:
        """Returns the current configuration."""
        current = self._publisher.current()
        return pb.Configuration(
            version=current.version,
            organisations=_build_messages(current, ObjectKind.ORGANISATION),
            services=_build_messages(current, ObjectKind.SERVICE),
            model_choices=_build_messages(current, ObjectKind.MODEL_CHOICE),
            routes=_build_messages(current, ObjectKind.ROUTE),
            targets=_build_messages(current, ObjectKind.TARGET),
            nodes=_build_messages(current, ObjectKind.NODE),
        )

    async def list_history(self, request: Any, ctx: Any, /) -> pb.History:
        """Lists recent changes, newest first."""
        entries = self._publisher.list_history()[::-1]
        if request.limit > 0:
            entries = entries[: request.limit]
        return pb.History(
            entries=[build_message(pb.HistoryEntry, item) for item in entries]
        )


class OrderRpcs:
    """The RPCs for orders to targets."""

    def __init__(
        self, *, publisher: ConfigurationPublisher, manager: OrderManager | None
    ) -> None:
        self._publisher = publisher
        self._manager = manager

    async def submit(self, request: Any, ctx: Any, /) -> pb.Order:
        """Submits an order."""
        manager = require_component(self._manager, "orders")
        try:
            order = read_message(request, OrderRequest)
        except ConversionError as error:
            raise_faults(f"order: {error}")
        if order.target not in self._publisher.current().targets:
            raise_not_found("target", order.target)
        result = await manager.submit(order, author=CALLING_OPERATOR.get())
        if isinstance(result, Refusal):
            raise_refusal(result)
        return build_message(pb.Order, result)

    async def get(self, request: Any, ctx: Any, /) -> pb.Order:
        """Returns one order."""
        manager = require_component(self._manager, "orders")
        order = await manager.get(request.id)
        if order is None:
            raise ConnectError(Code.NOT_FOUND, f"no order {request.id!r}")
        return build_message(pb.Order, order)

    async def list(self, request: Any, ctx: Any, /) -> pb.OrderList:
        """Lists the newest orders, newest first."""
        manager = require_component(self._manager, "orders")
        limit = request.limit if request.limit > 0 else DEFAULT_ORDER_LIMIT
        orders = await manager.list_orders(target=request.target, limit=limit)
        return pb.OrderList(
            orders=[build_message(pb.Order, order) for order in orders]
        )


class ReportRpcs:
    """The RPCs for explanations and reports."""

    def __init__(
        self,
        *,
        explanations: ExplanationSource | None,
        burn: BurnReporter | None,
    ) -> None:
        self._explanations = explanations
        self._burn = burn

    async def explain(self, request: Any, ctx: Any, /) -> pb.Explanation:
        """Returns the observation of a finished request."""
        source = require_component(self._explanations, "explanations")
        observation = await source.explain(request.id)
        if observation is None:
            raise ConnectError(
                Code.NOT_FOUND, f"no node remembers request {request.id!r}"
            )
        return build_message(pb.Explanation, observation)

    async def report_burn(self, request: Any, ctx: Any, /) -> pb.BurnReport:
        """Returns the burn rates of the error budgets."""
        reporter = require_component(self._burn, "the burn report")
        report = await reporter.report(
            service=request.service, organisation=request.organisation
        )
        return build_message(pb.BurnReport, report)


def _build_messages(
    configuration: Configuration, kind: ObjectKind
) -> list[Any]:
    objects = get_objects(configuration, kind)
    return [
        build_message(_MESSAGE_TYPES[kind], objects[name])
        for name in sorted(objects)
    ]


def _read_edits(request: Any) -> tuple[Edit, ...]:
    require_edits(len(request.edits))
    try:
        return tuple(_read_edit(edit.edit) for edit in request.edits)
    except ConversionError as error:
        raise_faults(str(error))


def _read_edit(edit: "Oneof[str, Any] | None") -> Edit:
    if edit is None:
        raise ConversionError("an edit holds nothing")
    if edit.field == "deletion":
        name = edit.value.kind.name.lower()
        if name not in list(ObjectKind):
            raise ConversionError("a deletion lacks the kind")
        return Edit(kind=ObjectKind(name), name=edit.value.name)
    kind = ObjectKind(edit.field)
    value = read_message(edit.value, get_type(kind))
    return Edit(kind=kind, name=value.name, value=value)
