"""The RPCs that create, change and read single objects."""

import dataclasses
import hashlib
import secrets
from contextvars import ContextVar
from typing import Any

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from protobuf import Message

from acaciarack._rpc_errors import (
    raise_faults,
    raise_not_found,
    require_component,
    require_published,
)
from acaciarack._schema import operators_pb as pb
from acaciarack.change_messages import (
    Edit,
    ObjectKind,
    get_objects,
    get_type,
)
from acaciarack.configuration import NodeSetting
from acaciarack.conversion import ConversionError, build_message, read_message
from acaciarack.operator_interfaces import ConfigurationPublisher, NodeDirectory

CALLING_OPERATOR: ContextVar[str] = ContextVar("author")
"""Name of the operator whose call is being served."""
MAX_PAGE_SIZE = 1000
KEY_PREFIX = "ack_"
"""Start of every caller key."""
KEY_BYTES = 32
"""Number of random bytes in a caller key."""
_MIN_HASH_PREFIX_LENGTH = 8
"""Minimum number of hex digits of a digest that identify a key to revoke."""


async def publish_edit(
    publisher: ConfigurationPublisher, edit: Edit, base_version: int
) -> int:
    """Publishes one edit and returns the new version.

    A ``base_version`` of 0 stands for the current version.
    """
    base = base_version or publisher.current().version
    result = await publisher.publish((edit,), base, CALLING_OPERATOR.get())
    return require_published(result)


class ObjectRpcs:
    """The Create, Update, Delete, Get and List RPCs for one kind of object."""

    def __init__(
        self,
        *,
        publisher: ConfigurationPublisher,
        kind: ObjectKind,
        message_type: type[Message],
        page_type: type[Message],
    ) -> None:
        self._publisher = publisher
        self._kind = kind
        self._message_type = message_type
        self._page_type = page_type

    async def create(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Creates an object."""
        value = self._read_object(request)
        if value.name in self._get_current_objects():
            raise ConnectError(
                Code.ALREADY_EXISTS,
                f"there is a {self._kind} named {value.name!r} already",
            )
        return await self._publish_object(value, request.base_version)

    async def update(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Replaces an object."""
        value = self._read_object(request)
        self._get_existing(value.name)
        return await self._publish_object(value, request.base_version)

    async def delete(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Deletes an object."""
        self._get_existing(request.name)
        edit = Edit(kind=self._kind, name=request.name)
        version = await publish_edit(
            self._publisher, edit, request.base_version
        )
        return pb.ChangeReply(version=version)

    async def get(self, request: Any, ctx: Any, /) -> Any:
        """Returns one object."""
        return build_message(
            self._message_type, self._get_existing(request.name)
        )

    async def list(self, request: Any, ctx: Any, /) -> Any:
        """Returns a page of objects, sorted by name."""
        current = self._get_current_objects()
        limit = request.limit or MAX_PAGE_SIZE
        if not 1 <= limit <= MAX_PAGE_SIZE:
            raise_faults(
                f"limit is {limit}; allowed: from 1 to {MAX_PAGE_SIZE}"
            )
        names = sorted(name for name in current if name > request.after)
        return self._page_type(
            objects=[
                build_message(self._message_type, current[name])
                for name in names[:limit]
            ],
            more=len(names) > limit,
            version=self._publisher.current().version,
        )

    def _get_current_objects(self) -> dict[str, Any]:
        return get_objects(self._publisher.current(), self._kind)

    def _get_existing(self, name: str) -> Any:
        value = self._get_current_objects().get(name)
        if value is None:
            raise_not_found(self._kind, name)
        return value

    def _read_object(self, request: Any) -> Any:
        if request.object is None:
            raise_faults("the field object is missing")
        try:
            return read_message(request.object, get_type(self._kind))
        except ConversionError as error:
            raise_faults(f"{self._kind}: {error}")

    async def _publish_object(
        self, value: Any, base_version: int
    ) -> pb.ChangeReply:
        edit = Edit(kind=self._kind, name=value.name, value=value)
        version = await publish_edit(self._publisher, edit, base_version)
        return pb.ChangeReply(version=version)


class OrganisationRpcs(ObjectRpcs):
    """The RPCs for organisations and their caller keys."""

    async def issue_key(self, request: Any, ctx: Any, /) -> pb.IssuedKey:
        """Creates a caller key and stores its digest."""
        organisation = self._get_existing(request.name)
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        hashes = (*organisation.key_hashes, key_hash)
        value = dataclasses.replace(organisation, key_hashes=hashes)
        reply = await self._publish_object(value, request.base_version)
        return pb.IssuedKey(key=key, key_hash=key_hash, version=reply.version)

    async def revoke_key(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Revokes the only caller key whose digest starts with the prefix."""
        organisation = self._get_existing(request.name)
        prefix = request.key_hash
        matches = [
            key_hash
            for key_hash in organisation.key_hashes
            if key_hash.startswith(prefix)
        ]
        if len(prefix) < _MIN_HASH_PREFIX_LENGTH or len(matches) != 1:
            raise_not_found(f"key of organisation {request.name}", prefix)
        kept = tuple(set(organisation.key_hashes) - set(matches))
        value = dataclasses.replace(
            organisation, key_hashes=tuple(sorted(kept))
        )
        return await self._publish_object(value, request.base_version)


class TargetRpcs(ObjectRpcs):
    """The RPCs for targets, with drain and undrain."""

    async def drain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Stops dispatching new requests to a target.

        The target finishes its current requests.
        """
        return await self._set_drained(request, drained=True)

    async def undrain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Resumes dispatching requests to a target."""
        return await self._set_drained(request, drained=False)

    async def _set_drained(
        self, request: Any, *, drained: bool
    ) -> pb.ChangeReply:
        target = self._get_existing(request.name)
        value = dataclasses.replace(target, drained=drained)
        return await self._publish_object(value, request.base_version)


class NodeRpcs:
    """The RPCs that drain, undrain and list nodes."""

    def __init__(
        self,
        *,
        publisher: ConfigurationPublisher,
        directory: NodeDirectory | None,
    ) -> None:
        self._publisher = publisher
        self._directory = directory

    async def drain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Removes a node from the entry addresses for callers.

        The node finishes its current requests and refuses new ones. It need not
        be running.
        """
        return await self._set_drained(request, drained=True)

    async def undrain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Adds a node to the entry addresses for callers again."""
        return await self._set_drained(request, drained=False)

    async def list(self, request: Any, ctx: Any, /) -> pb.NodeList:
        """Lists the nodes."""
        directory = require_component(self._directory, "a directory of nodes")
        nodes = directory.list_nodes()
        return pb.NodeList(
            nodes=[build_message(pb.NodeStatus, node) for node in nodes]
        )

    async def _set_drained(
        self, request: Any, *, drained: bool
    ) -> pb.ChangeReply:
        value = NodeSetting(name=request.name, drained=drained)
        edit = Edit(kind=ObjectKind.NODE, name=request.name, value=value)
        version = await publish_edit(
            self._publisher, edit, request.base_version
        )
        return pb.ChangeReply(version=version)
