"""Derives what callers may use from the memory and descriptors of a process."""

import os
import pathlib
import resource
from dataclasses import dataclass

MEGABYTE = 1_000_000
CONTROL_MEMORY_BYTES = 64 * MEGABYTE
"""Memory of a process without callers."""
CALLER_MEMORY_PART = 1 / 2
"""The part of the remaining memory that callers may hold. The rest is for
copies, buffers of the kernel and memory that the allocator cannot return."""
MIN_CALLER_MEMORY_BYTES = 12 * MEGABYTE
"""Room for one body of the full size, whatever the machine."""
FILE_DESCRIPTORS = 200
"""Descriptors for files, which sockets cannot use."""
MIN_CONTROL_DESCRIPTORS = 64
CONTROL_DESCRIPTORS_PART = 1 / 8
"""The part of the sockets for listeners, the store and other nodes."""
OWN_PROCESS = pathlib.Path("/proc/self")
CONTROL_GROUPS = pathlib.Path("/sys/fs/cgroup")


@dataclass(frozen=True, kw_only=True)
class ResourceLimits:
    """What callers may make a process use.

    Attributes:
        memory_bytes: the memory that callers hold.
        descriptors: the descriptors of callers' connections, and of those to
            targets and peers that serve their requests.
    """

    memory_bytes: int
    descriptors: int


def derive_limits(
    *,
    memory_megabytes: float | None = None,
    max_descriptors: int | None = None,
) -> ResourceLimits:
    """Derives what callers may use from the limits of the process.

    Args:
        memory_megabytes: the memory of the process; ``None`` for that of the
            machine, or less where the service manager has set a limit.
        max_descriptors: the number of its descriptors; ``None`` for the limit
            that the operating system sets.
    """
    if memory_megabytes is None:
        memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        memory = min([memory, *list_group_limits()])
    else:
        memory = int(memory_megabytes * MEGABYTE)
    if max_descriptors is None:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = max(max_descriptors - FILE_DESCRIPTORS, max_descriptors // 2)
    control = max(
        MIN_CONTROL_DESCRIPTORS, int(sockets * CONTROL_DESCRIPTORS_PART)
    )
    return ResourceLimits(
        memory_bytes=max(
            MIN_CALLER_MEMORY_BYTES,
            int((memory - CONTROL_MEMORY_BYTES) * CALLER_MEMORY_PART),
        ),
        descriptors=max(8, sockets - control),
    )


def list_group_limits(
    *, process: pathlib.Path = OWN_PROCESS, root: pathlib.Path = CONTROL_GROUPS
) -> list[int]:
    """Returns the memory limits in bytes of the process's control groups.

    A group is bound by the limits of the groups around it. The format is that
    of version 2; without such groups there are no limits.

    Args:
        process: the folder of the process in ``/proc``.
        root: the folder of the outermost group.
    """
    try:
        lines = (process / "cgroup").read_text().splitlines()
    except OSError:
        return []
    names = [line.removeprefix("0::") for line in lines if line[:3] == "0::"]
    limits = []
    for name in names:
        group = root / name.lstrip("/")
        for folder in (group, *group.parents):
            if not folder.is_relative_to(root):
                break
            try:
                text = (folder / "memory.max").read_text().strip()
            except OSError:
                continue
            if text.isdigit():
                limits.append(int(text))
    return limits
