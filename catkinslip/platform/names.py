"""The platform's wire names: paths, kinds of objects and headers."""

from typing import Final

PATH_PREFIX: Final = '/catkinslip'
READY_PATH: Final = f'{PATH_PREFIX}/readyz'
RESOLVE_PATH: Final = f'{PATH_PREFIX}/resolve'
OBJECTS_PATH: Final = f'{PATH_PREFIX}/objects'

#: The kind of the objects in which backend servers register themselves.
SERVERS_KIND: Final = 'servers'
#: The kind of the operators' configuration, which is its object MAIN_NAME.
CONFIG_KIND: Final = 'config'
MAIN_NAME: Final = 'main'
#: The kind of operators' orders to send a zone no requests, named after the zone.
EVACUATIONS_KIND: Final = 'evacuations'
#: The product's own kind: one object for each instance.
INSTANCES_KIND: Final = 'instances'
#: The product's own kind: one crash record for each request that crashed servers.
CRASHES_KIND: Final = 'crashes'

#: On each answer of the store: a number that rises with each restore from a backup.
STORE_ERA: Final = b'store-era'

REQUEST_ID: Final = b'request-id'
#: Milliseconds that the caller waits; on requests to servers, those that remain.
DEADLINE: Final = b'deadline-ms'
#: The API key of a caller; never sent to servers.
API_KEY: Final = b'x-api-key'
#: On requests to servers: the workspace that the caller's API key belongs to.
WORKSPACE: Final = b'tenant'
#: The ID of the one server that may run the request.
TARGET: Final = b'target-instance'
#: On an answer: the request did not run.
NOT_EXECUTED: Final = b'not-executed'
SIGNATURE: Final = b'response-signature'
#: Running, waiting, slots and optionally the time that work takes, in percent.
SERVER_LOAD: Final = b'server-load'
#: The requests per second that the server accepts from all instances together.
RATE: Final = b'server-limit'
#: On an answer: the server is leaving, as its entry states now or soon.
LEAVING: Final = b'server-leaving'
#: On answers to probes, and on answers of a server other than the target.
SERVER_ID: Final = b'instance-id'
#: On answers to probes: milliseconds for which the server stays cold.
COLD: Final = b'cold-ms'
