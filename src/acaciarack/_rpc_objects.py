"""The RPCs that create, change and show single objects."""

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
    raise_missing,
    require_part,
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
from acaciarack.desks import NodeDirectory, Publisher

AUTHOR: ContextVar[str] = ContextVar("author")
"""The operator whose call is being served."""
MAX_PAGE = 1000
KEY_PREFIX = "ack_"
KEY_BYTES = 32
_SHORTEST_HASH = 8


async def publish_edit(
    publisher: Publisher, edit: Edit, base_version: int
) -> int:
    """Publishes one edit and returns the new version."""
    base = base_version or publisher.current().version
    result = await publisher.publish((edit,), base, AUTHOR.get())
    return require_published(result)


class ObjectRpcs:
    """Create, Update, Delete, Get and List for one kind of object."""

    def __init__(
        self,
        *,
        publisher: Publisher,
        kind: ObjectKind,
        message: type[Message],
        page: type[Message],
    ) -> None:
        self._publisher = publisher
        self._kind = kind
        self._message = message
        self._page = page

    async def create(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Creates an object."""
        value = self._read(request)
        if value.name in self._list_current():
            raise ConnectError(
                Code.ALREADY_EXISTS,
                f"there is a {self._kind} named {value.name!r} already",
            )
        return await self._put(value, request.base_version)

    async def update(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Replaces an object."""
        value = self._read(request)
        self._find(value.name)
        return await self._put(value, request.base_version)

    async def delete(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Deletes an object."""
        self._find(request.name)
        edit = Edit(kind=self._kind, name=request.name)
        version = await publish_edit(
            self._publisher, edit, request.base_version
        )
        return pb.ChangeReply(version=version)

    async def get(self, request: Any, ctx: Any, /) -> Any:
        """Returns one object."""
        return build_message(self._message, self._find(request.name))

    async def list(self, request: Any, ctx: Any, /) -> Any:
        """Returns a page of objects by name."""
        current = self._list_current()
        limit = request.limit or MAX_PAGE
        if not 1 <= limit <= MAX_PAGE:
            raise_faults(f"limit is {limit}; allowed: from 1 to {MAX_PAGE}")
        names = sorted(name for name in current if name > request.after)
        return self._page(
            objects=[
                build_message(self._message, current[name])
                for name in names[:limit]
            ],
            more=len(names) > limit,
            version=self._publisher.current().version,
        )

    def _list_current(self) -> dict[str, Any]:
        return get_objects(self._publisher.current(), self._kind)

    def _find(self, name: str) -> Any:
        found = self._list_current().get(name)
        if found is None:
            raise_missing(self._kind, name)
        return found

    def _read(self, request: Any) -> Any:
        if request.object is None:
            raise_faults("the field object is missing")
        try:
            return read_message(request.object, get_type(self._kind))
        except ConversionError as error:
            raise_faults(f"{self._kind}: {error}")

    async def _put(self, value: Any, base_version: int) -> pb.ChangeReply:
        edit = Edit(kind=self._kind, name=value.name, value=value)
        version = await publish_edit(self._publisher, edit, base_version)
        return pb.ChangeReply(version=version)


class OrganisationRpcs(ObjectRpcs):
    """Organisations with their caller keys."""

    async def issue_key(self, request: Any, ctx: Any, /) -> pb.IssuedKey:
        """Makes a key and keeps its digest."""
        organisation = self._find(request.name)
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        hashes = (*organisation.key_hashes, key_hash)
        value = dataclasses.replace(organisation, key_hashes=hashes)
        reply = await self._put(value, request.base_version)
        return pb.IssuedKey(key=key, key_hash=key_hash, version=reply.version)

    async def revoke_key(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Removes the digest of a key."""
        organisation = self._find(request.name)
        start = request.key_hash
        found = [
            key_hash
            for key_hash in organisation.key_hashes
            if key_hash.startswith(start)
        ]
        if len(start) < _SHORTEST_HASH or len(found) != 1:
            raise_missing(f"key of organisation {request.name}", start)
        kept = tuple(set(organisation.key_hashes) - set(found))
        value = dataclasses.replace(
            organisation, key_hashes=tuple(sorted(kept))
        )
        return await self._put(value, request.base_version)


class TargetRpcs(ObjectRpcs):
    """Targets with drain and undrain."""

    async def drain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Gives a target no new work."""
        return await self._set_drained(request, drained=True)

    async def undrain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Gives a target work again."""
        return await self._set_drained(request, drained=False)

    async def _set_drained(
        self, request: Any, *, drained: bool
    ) -> pb.ChangeReply:
        target = self._find(request.name)
        value = dataclasses.replace(target, drained=drained)
        return await self._put(value, request.base_version)


class NodeRpcs:
    """Drain and undrain of nodes, and what is known of them."""

    def __init__(
        self, *, publisher: Publisher, directory: NodeDirectory | None
    ) -> None:
        self._publisher = publisher
        self._directory = directory

    async def drain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Takes a node out of the entry addresses."""
        return await self._set_drained(request, drained=True)

    async def undrain(self, request: Any, ctx: Any, /) -> pb.ChangeReply:
        """Puts a node back."""
        return await self._set_drained(request, drained=False)

    async def list(self, request: Any, ctx: Any, /) -> pb.NodeList:
        """Lists the nodes."""
        directory = require_part(self._directory, "a directory of nodes")
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
