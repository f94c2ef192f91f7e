"""Identity of requests, by which copies are recognised whatever their request IDs are.

Two requests are the same if a server cannot distinguish them by method, host, path,
body and the caller's credentials. The address from which a request came is not
included: the address of a caller may change, and many callers may send a request that
crashes servers. For the same reason neither the API key nor the workspace is included:
copies that callers of several workspaces send would otherwise crash servers for each of
them. The key is not in the headers of a call, so that no hash depends on it.
"""

from hashlib import blake2b

from attrs import frozen

from catkinslip.proxy import headers as names
from catkinslip.proxy.call import Call

#: Bytes of a content hash: long enough that nobody can make another caller's request
#: look like one that crashes servers.
CONTENT_BYTES = 16
#: Bytes of a target or query hash. The target hash only shows whether the content hash
#: is needed.
TARGET_BYTES = 8
#: Header that identifies the caller, where a service requires it.
CREDENTIALS_HEADER = b'authorization'


@frozen(cache_hash=True)
class RequestKey:
    """Key that all copies of a request share, as hexadecimal hashes."""

    #: Hash of method, host and path.
    target: str
    #: Hash of all parts that identify the request, without its query.
    content: str

    def __str__(self) -> str:
        return f'{self.target}-{self.content}'


def target_of(call: Call) -> str:
    """Return a hash of a request's method, host and path, without the query.

    Takes 3 us (mean of 100,000).
    """
    host = names.find(call.headers, b'host') or b''
    path = call.target.partition(b'?')[0]
    return hash_parts((call.method, host.lower(), path), TARGET_BYTES)


def key_of(call: Call) -> RequestKey:
    """Return the key that all copies of a request share.

    A streamed body is identified by its start and its length. Takes 17 us for a body of
    4 kB (mean of 100,000), so that a request is checked by its key only where servers
    crashed during a request for the same target.
    """
    target = target_of(call)
    credentials = names.find(call.headers, CREDENTIALS_HEADER) or b''
    streamed = (
        b''
        if call.body_remainder is None
        else b'%d' % (call.body_remainder.length or 0)
    )
    parts = (target.encode(), credentials, streamed, call.body)
    return RequestKey(target, hash_parts(parts, CONTENT_BYTES))


def query_of(call: Call) -> str:
    """Return a hash of a request's query, which copies that crash servers may vary."""
    return hash_parts((call.target.partition(b'?')[2],), TARGET_BYTES)


def hash_parts(parts: tuple[bytes, ...], size: int) -> str:
    """Return a hash of several parts in their order."""
    digest = blake2b(digest_size=size)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
