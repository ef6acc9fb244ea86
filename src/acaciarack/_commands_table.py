"""Lists the commands for the RPCs of the schema."""

from collections.abc import Iterator
from typing import Any

from protobuf import Message

from acaciarack._commands_rpc import Call
from acaciarack._schema import operators_connect as rpc
from acaciarack._schema import operators_pb as pb
from acaciarack.burn_page import render_burn_text, render_page


def list_calls() -> tuple[Call, ...]:
    """Returns the definitions of all commands that call an RPC."""
    return tuple(_list_calls())


def _list_calls() -> Iterator[Call]:
    yield from _list_object_calls()
    yield from _list_key_calls()
    yield from _list_drain_calls("target", rpc.TargetsClientSync)
    yield from _list_drain_calls("node", rpc.NodesClientSync)
    yield from _list_configuration_calls()
    yield from _list_order_calls()
    yield from _list_report_calls()


def _list_object_calls() -> Iterator[Call]:
    yield from _list_kind_calls(
        "organisation",
        rpc.OrganisationsClientSync,
        pb.OrganisationRequest,
        "organisations",
        "hamar-clinic --share 2",
    )
    yield from _list_kind_calls(
        "service",
        rpc.ServicesClientSync,
        pb.ServiceRequest,
        "services",
        "assistant --kind generation --delivery stream",
    )
    yield from _list_kind_calls(
        "choice",
        rpc.ModelChoicesClientSync,
        pb.ModelChoiceRequest,
        "model_choices",
        "assistant-all --service assistant --model rettleiar --model-version 3",
    )
    yield from _list_kind_calls(
        "route",
        rpc.RoutesClientSync,
        pb.RouteRequest,
        "routes",
        "assistant-all --service assistant --pool engines",
    )
    yield from _list_kind_calls(
        "target",
        rpc.TargetsClientSync,
        pb.TargetRequest,
        "targets",
        "rettleiar-1 --kind engine --host 127.0.0.1 --port 9001"
        " --data-centre oslo-a --pool engines",
    )


def _list_kind_calls(
    noun: str,
    client: type[Any],
    request: type[Message],
    group: str,
    example: str,
) -> Iterator[Call]:
    """Yields the create, update, delete, get and list calls of a kind."""
    article = "an" if noun[0] in "aeiou" else "a"
    yield Call(
        name=f"{noun} create",
        client=client,
        method="create",
        request=request,
        description=f"Creates {article} {noun}.",
        arguments=("name",),
        example=f"{noun} create {example}",
    )
    yield Call(
        name=f"{noun} update",
        client=client,
        method="update",
        request=request,
        description=f"Changes the given fields of {article} {noun}.",
        arguments=("name",),
        example=f"{noun} update {example}",
        updates=group,
    )
    name = example.split()[0]
    for method, text in (("delete", "Deletes"), ("get", "Shows")):
        yield Call(
            name=f"{noun} {method}",
            client=client,
            method=method,
            request=pb.NameRequest,
            description=f"{text} {article} {noun}.",
            arguments=("name",),
            example=f"{noun} {method} {name}",
        )
    yield Call(
        name=f"{noun} list",
        client=client,
        method="list",
        request=pb.ListRequest,
        description=f"Lists objects of kind {noun}, a page at a time.",
        example=f"{noun} list --limit 20 --output json",
    )


def _list_key_calls() -> Iterator[Call]:
    yield Call(
        name="organisation issue-key",
        client=rpc.OrganisationsClientSync,
        method="issue_key",
        request=pb.NameRequest,
        description="Makes a caller key, which is shown only once.",
        arguments=("name",),
        example="organisation issue-key hamar-clinic",
    )
    yield Call(
        name="organisation revoke-key",
        client=rpc.OrganisationsClientSync,
        method="revoke_key",
        request=pb.RevokeKeyRequest,
        description="Revokes a caller key.",
        arguments=("name", "key-hash"),
        example="organisation revoke-key hamar-clinic 3f2a9c41",
    )


def _list_drain_calls(noun: str, client: type[Any]) -> Iterator[Call]:
    texts = {"drain": f"Takes a {noun} out of use.", "undrain": "Undoes drain."}
    for method, text in texts.items():
        yield Call(
            name=f"{noun} {method}",
            client=client,
            method=method,
            request=pb.NameRequest,
            description=text,
            arguments=("name",),
            example=f"{noun} {method} {noun}-1",
        )


def _list_configuration_calls() -> Iterator[Call]:
    client = rpc.ConfigurationsClientSync
    yield Call(
        name="configuration show",
        client=client,
        method="get",
        request=pb.GetConfigurationRequest,
        description="Shows the configuration in force.",
        example="configuration show --output json",
    )
    for method, text in (
        ("validate", "Checks a draft; changes nothing."),
        ("publish", "Publishes a draft: all of its edits or none."),
    ):
        yield Call(
            name=f"configuration {method}",
            client=client,
            method=method,
            request=pb.DraftRequest,
            description=f"{text} The file holds a DraftRequest in JSON.",
            example=f"configuration {method} draft.json",
            file=True,
        )
    yield Call(
        name="configuration history",
        client=client,
        method="list_history",
        request=pb.HistoryRequest,
        description="Lists the newest changes, accepted and rejected.",
        example="configuration history --limit 10",
    )
    yield Call(
        name="configuration nodes",
        client=rpc.NodesClientSync,
        method="list",
        request=pb.ListNodesRequest,
        description="Lists the nodes with the version that each has in force.",
        example="configuration nodes",
    )


def _list_order_calls() -> Iterator[Call]:
    client = rpc.OrdersClientSync
    yield Call(
        name="order submit",
        client=client,
        method="submit",
        request=pb.OrderRequest,
        description="Orders a target to load a model or to change role.",
        arguments=("target",),
        example="order submit rettleiar-1 --kind load --model rettleiar"
        " --model-version 4",
    )
    yield Call(
        name="order get",
        client=client,
        method="get",
        request=pb.OrderId,
        description="Shows an order.",
        arguments=("id",),
        example="order get ORDER_ID",
    )
    yield Call(
        name="order list",
        client=client,
        method="list",
        request=pb.ListOrdersRequest,
        description="Lists the newest orders.",
        example="order list --target rettleiar-1",
    )


def _list_report_calls() -> Iterator[Call]:
    yield Call(
        name="explain",
        client=rpc.ReportsClientSync,
        method="explain",
        request=pb.ExplainRequest,
        description="Explains what became of a request.",
        arguments=("id",),
        example="explain RESPONSE_ID",
    )
    yield Call(
        name="report burn",
        client=rpc.ReportsClientSync,
        method="report_burn",
        request=pb.BurnRequest,
        description="Reports how fast the error budgets are spent.",
        example="report burn --service assistant --output html > burn.html",
        renderers={"text": render_burn_text, "html": render_page},
    )
