"""Clients with a connection each and one request at a time: a small one, then large ones for as long as the
connection stays open. Prints a line of JSON for each request. Arguments: port, number of clients, bytes of a value,
name of the tenant."""
import fcntl
import json
import os
import select
import socket
import struct
import sys
import termios
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from stand_ins import insert, query, startup

port, count, size = (int(each) for each in sys.argv[1:4])
large = 3


class Client:
    def __init__(self, i):
        self.i, self.n, self.got, self.left = i, -1, b"", None
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.texts = [query(insert(self.name(n), "issue", 4000, "mark" + self.name(n), f"k{i}",
                                   tenant=sys.argv[4],
                                   value="ab" * size if n else "ab")) for n in range(large + 1)]
        self.socket.sendall(startup())
        while not self.got.endswith(b"Z\0\0\0\5I"):
            self.got += self.socket.recv(4096)
        self.socket.setblocking(False)

    def name(self, n):
        return f"{'b' if n else 'a'}{self.i:03x}{n:04x}"

    def send(self):
        self.n += 1
        self.got = b""
        self.unsent = self.texts[self.n]
        self.push()

    def push(self):
        try:
            self.unsent = self.unsent[self.socket.send(self.unsent):]
        except BlockingIOError:
            pass
        except OSError:
            self.unsent = self.unsent or b" "

    def result(self, kind, **more):
        print(json.dumps(dict(more, at=time.monotonic(), client=self.i, id=self.name(self.n), result=kind)))


clients = {}
poll = select.epoll()
for i in range(count):
    client = Client(i)
    clients[client.socket.fileno()] = client
    poll.register(client.socket.fileno(), select.EPOLLIN)
for client in clients.values():
    client.send()
print(json.dumps({"sent": count}), flush=True)
ended = []
until = time.monotonic() + 12
while clients and time.monotonic() < until:
    for number, _ in poll.poll(0.2):
        client = clients[number]
        try:
            data = client.socket.recv(65536)
        except BlockingIOError:
            continue
        except OSError:
            data = None
        if data:
            client.got += data
            if not client.got.endswith(b"Z\0\0\0\5I"):
                continue
            kind = "served" if client.got[:1] == b"T" else "error"
            answered = client.n
            more = client.n < large
            if more:
                client.send()
                client.n -= 1
            client.result(kind)
            client.n = answered + (1 if more else 0)
            if more:
                continue
        else:
            poll.unregister(number)
            ended.append((client, data))
            del clients[number]
            continue
        poll.unregister(number)
        del clients[number]
    for client in clients.values():
        if client.unsent:
            client.push()
time.sleep(1.0)
for client, data in ended:
    error = client.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    left = struct.unpack("i", fcntl.ioctl(client.socket.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    taken = data == b"" and not error and not left and not client.unsent
    # A sidecar that closed without having read all resets the connection at the bytes that are left.
    client.result("taken, no answer" if taken else "closed before it was read", error=error,
                  left=left + len(client.unsent))
for client in clients.values():
    client.result("nothing")
sys.stdout.flush()
