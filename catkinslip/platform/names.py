"""The platform's names on the wire, each written once."""

from typing import Final

PATH_PREFIX: Final = '/catkinslip'
READY_PATH: Final = f'{PATH_PREFIX}/readyz'
RESOLVE_PATH: Final = f'{PATH_PREFIX}/resolve'
OBJECTS_PATH: Final = f'{PATH_PREFIX}/objects'

#: Backend servers register themselves in objects of this kind.
SERVERS_KIND: Final = 'servers'
#: The operators' configuration is the object MAIN_NAME of this kind.
CONFIG_KIND: Final = 'config'
MAIN_NAME: Final = 'main'
#: An operator's order that a zone's servers get nothing, by the name of the zone.
EVACUATIONS_KIND: Final = 'evacuations'
#: Our own kind: one object an instance.
INSTANCES_KIND: Final = 'instances'
#: Our own kind: one object for each request under which servers ended.
CRASHES_KIND: Final = 'crashes'

#: On each answer of the store: a number that rises when it came back from a copy.
STORE_ERA: Final = b'store-era'

REQUEST_ID: Final = b'request-id'
#: Milliseconds that the caller waits; on the way to a server, those that are left.
DEADLINE: Final = b'deadline-ms'
#: The ID of the one server that may run the request.
TARGET: Final = b'target-instance'
#: On an answer: the request did not run.
NOT_EXECUTED: Final = b'not-executed'
SIGNATURE: Final = b'response-signature'
#: Running, waiting, slots and, if told, the time that work takes in percent.
SERVER_LOAD: Final = b'server-load'
#: The requests a second that the server takes from all instances together.
RATE: Final = b'server-limit'
#: The server leaves, and its entry says so now or soon.
LEAVING: Final = b'server-leaving'
#: On answers to probes, and of a server that is not the named one.
SERVER_ID: Final = b'instance-id'
#: On answers to probes: milliseconds that the server stays cold.
COLD: Final = b'cold-ms'
