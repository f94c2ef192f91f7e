"""One caller with one blocking connection, ordered about by lines of JSON."""

import json
import socket
import sys
import time
from random import Random

REQUEST = (
    b'GET /limits/buyers/4711 HTTP/1.1\r\nHost: limits\r\n'
    b'Accept: application/json\r\nUser-Agent: benchmark\r\n\r\n'
)
HEAD_END = b'\r\n\r\n'
LENGTH = b'content-length: '


def main() -> None:
    """Carry out one order a line and print the latencies in microseconds."""
    print(json.dumps({'event': 'ready', 'address': ''}), flush=True)
    connection_by_address: dict[str, socket.socket] = {}
    for line in sys.stdin:
        order = json.loads(line)
        address = order['address']
        if address not in connection_by_address:
            host, _, port = address.rpartition(':')
            connection = socket.create_connection((host, int(port)))
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection_by_address[address] = connection
        print(json.dumps(carry_out(connection_by_address[address], order)), flush=True)


def carry_out(connection: socket.socket, order: dict) -> list[int]:
    """Send requests for a number of seconds or up to a count."""
    random = Random(order['seed'])
    end = time.perf_counter() + order['seconds']
    rate = order['rate']
    due = time.perf_counter()
    latencies = []
    while len(latencies) < order['count'] and time.perf_counter() < end:
        if rate:
            due += random.expovariate(rate)
            time.sleep(max(0.0, due - time.perf_counter()))
        began = time.perf_counter_ns()
        exchange(connection)
        latencies.append((time.perf_counter_ns() - began) // 1000)
    return latencies


def exchange(connection: socket.socket) -> None:
    """Send one request and read its whole answer."""
    connection.sendall(REQUEST)
    data = receive(connection)
    while HEAD_END not in data:
        data += receive(connection)
    head, _, body = data.partition(HEAD_END)
    if not head.startswith(b'HTTP/1.1 200 '):
        raise RuntimeError(head.decode('latin-1'))
    length = int(head.lower().partition(LENGTH)[2].split(b'\r', 1)[0])
    while len(body) < length:
        body += receive(connection)


def receive(connection: socket.socket) -> bytes:
    """Return the next bytes; raise EOFError when the other side closed."""
    data = connection.recv(65536)
    if not data:
        raise EOFError
    return data


if __name__ == '__main__':
    main()
