"""The RPCs for whole configurations, orders, explanations and reports."""

from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from protobuf import Oneof

from acaciarack._rpc_errors import (
    raise_faults,
    raise_missing,
    raise_refusal,
    require_edits,
    require_part,
    require_published,
)
from acaciarack._rpc_objects import AUTHOR
from acaciarack._schema import operators_pb as pb
from acaciarack.change_messages import (
    Edit,
    ObjectKind,
    get_objects,
    get_type,
)
from acaciarack.configuration import Configuration
from acaciarack.conversion import ConversionError, build_message, read_message
from acaciarack.desks import (
    BurnReporter,
    ExplanationSource,
    OrderDesk,
    OrderRequest,
    Publisher,
)
from acaciarack.errors import Refusal

DEFAULT_ORDERS = 100
_MESSAGES: dict[ObjectKind, type[Any]] = {
    ObjectKind.ORGANISATION: pb.Organisation,
    ObjectKind.SERVICE: pb.Service,
    ObjectKind.MODEL_CHOICE: pb.ModelChoice,
    ObjectKind.ROUTE: pb.Route,
    ObjectKind.TARGET: pb.Target,
    ObjectKind.NODE: pb.Node,
}


class ConfigurationRpcs:
    """Drafts, the configuration in force and the history."""

    def __init__(self, *, publisher: Publisher) -> None:
        self._publisher = publisher

    async def validate(self, request: Any, ctx: Any, /) -> pb.ValidationReply:
        """Checks a draft."""
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
        result = await self._publisher.publish(edits, base, AUTHOR.get())
        return pb.ChangeReply(version=require_published(result))

    async def get(self, request: Any, ctx: Any, /) -> pb.Configuration:
        """Returns the configuration in force."""
        current = self._publisher.current()
        return pb.Configuration(
            version=current.version,
            organisations=_build_all(current, ObjectKind.ORGANISATION),
            services=_build_all(current, ObjectKind.SERVICE),
            model_choices=_build_all(current, ObjectKind.MODEL_CHOICE),
            routes=_build_all(current, ObjectKind.ROUTE),
            targets=_build_all(current, ObjectKind.TARGET),
            nodes=_build_all(current, ObjectKind.NODE),
        )

    async def list_history(self, request: Any, ctx: Any, /) -> pb.History:
        """Lists the newest changes."""
        entries = self._publisher.list_history()[::-1]
        if request.limit > 0:
            entries = entries[: request.limit]
        return pb.History(
            entries=[build_message(pb.HistoryEntry, item) for item in entries]
        )


class OrderRpcs:
    """Orders to targets."""

    def __init__(self, *, publisher: Publisher, desk: OrderDesk | None) -> None:
        self._publisher = publisher
        self._desk = desk

    async def submit(self, request: Any, ctx: Any, /) -> pb.Order:
        """Submits an order."""
        desk = require_part(self._desk, "orders")
        try:
            order = read_message(request, OrderRequest)
        except ConversionError as error:
            raise_faults(f"order: {error}")
        if order.target not in self._publisher.current().targets:
            raise_missing("target", order.target)
        result = await desk.submit(order, author=AUTHOR.get())
        if isinstance(result, Refusal):
            raise_refusal(result)
        return build_message(pb.Order, result)

    async def get(self, request: Any, ctx: Any, /) -> pb.Order:
        """Returns one order."""
        desk = require_part(self._desk, "orders")
        order = await desk.get(request.id)
        if order is None:
            raise ConnectError(Code.NOT_FOUND, f"no order {request.id!r}")
        return build_message(pb.Order, order)

    async def list(self, request: Any, ctx: Any, /) -> pb.OrderList:
        """Lists the newest orders."""
        desk = require_part(self._desk, "orders")
        limit = request.limit if request.limit > 0 else DEFAULT_ORDERS
        orders = await desk.list_orders(target=request.target, limit=limit)
        return pb.OrderList(
            orders=[build_message(pb.Order, order) for order in orders]
        )


class ReportRpcs:
    """Explanations and reports."""

    def __init__(
        self,
        *,
        explanations: ExplanationSource | None,
        burn: BurnReporter | None,
    ) -> None:
        self._explanations = explanations
        self._burn = burn

    async def explain(self, request: Any, ctx: Any, /) -> pb.Explanation:
        """Explains what became of a request."""
        source = require_part(self._explanations, "explanations")
        found = await source.explain(request.id)
        if found is None:
            raise ConnectError(
                Code.NOT_FOUND, f"no node remembers request {request.id!r}"
            )
        return build_message(pb.Explanation, found)

    async def report_burn(self, request: Any, ctx: Any, /) -> pb.BurnReport:
        """Reports how fast the error budgets are spent."""
        reporter = require_part(self._burn, "the burn report")
        report = await reporter.report(
            service=request.service, organisation=request.organisation
        )
        return build_message(pb.BurnReport, report)


def _build_all(configuration: Configuration, kind: ObjectKind) -> list[Any]:
    objects = get_objects(configuration, kind)
    return [
        build_message(_MESSAGES[kind], objects[name])
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
