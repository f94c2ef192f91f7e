"""The instances that opened the connections to servers, found by their processes."""

import os
from collections.abc import Iterator
from typing import TYPE_CHECKING

import trio
from attrs import define

from soak.links import NO_PATH, Path, Paths

if TYPE_CHECKING:
    from soak.world import Instance

TCP_TABLE = '/proc/net/tcp'
LOCAL_COLUMN, REMOTE_COLUMN, INODE_COLUMN = 1, 2, 9


@define
class InstancePaths(Paths):
    """The paths from instances to servers, by the process that holds a socket."""

    instances: 'list[Instance]'

    def path_of(self, stream: trio.SocketStream) -> Path:
        """Return the path of the instance that opened a connection."""
        try:
            ports = stream.socket.getpeername()[1], stream.socket.getsockname()[1]
        except OSError:
            # It was closed at once.
            return NO_PATH
        inode = find_inode(ports)
        for instance in self.instances:
            if inode in socket_inodes(instance.process.pid):
                return instance.path
        return NO_PATH


def find_inode(ports: tuple[int, int]) -> str | None:
    """Return the inode of the TCP socket with a local and a remote port, or None.

    Connections to different ports may have the same local one.
    """
    with open(TCP_TABLE) as table:
        rows = [line.split() for line in table]
    for row in rows[1:]:
        if (read_port(row[LOCAL_COLUMN]), read_port(row[REMOTE_COLUMN])) == ports:
            return row[INODE_COLUMN]
    return None


def read_port(address: str) -> int:
    """Return the port of an address in the table of sockets."""
    return int(address.partition(':')[2], 16)


def socket_inodes(pid: int) -> Iterator[str]:
    """Yield the inodes of the sockets that a process holds."""
    folder = f'/proc/{pid}/fd'
    try:
        names = os.listdir(folder)
    except OSError:
        return
    for name in names:
        try:
            target = os.readlink(f'{folder}/{name}')
        except OSError:
            continue
        if target.startswith('socket:['):
            yield target[len('socket:[') : -1]
