"""Stand-ins of servers and clients that speak in packets, for the cases 6 to 10. One thread serves all their sockets.

A server answers each SYN that it can take with a SYN+ACK of its own sequence, opens the flow at the acknowledgment of that
sequence, acknowledges data and answers each request once; what it does not hold it hands back, marked as returned. A client
opens a flow, sends copies of its SYN after 200 and 600 ms, and sends again what is not acknowledged after 200 ms, doubled
up to 1.6 s.
"""

import http.client
import json
import random
import selectors
import socket
import struct
import threading
import time

from cluster2 import word

HEAD = struct.Struct("<IIIIHIHHIB")
ACK, SYN, FIN, RST, RETURNED = 1, 2, 8, 16, 32
MASK = 0xffffffff


def number_of(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def text_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, check=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo, self.check = flags, seq & MASK, ack & MASK, data, echo, check

    def encode(self):
        # The pages give the order: sum, echo, seq, ack, len, dst, dport, sport, src, flags; the sum's key is the ends' own.
        check = self.check or (hash((self.src, self.sport, self.dst, self.dport, self.seq, self.ack, self.data)) & MASK) | 1
        return HEAD.pack(check, self.echo, self.seq, self.ack, len(self.data), self.dst, self.dport, self.sport, self.src,
                         self.flags) + self.data

    @staticmethod
    def decode(raw):
        check, echo, seq, ack, size, dst, dport, sport, src, flags = HEAD.unpack_from(raw)
        return Packet(src, sport, dst, dport, flags, seq, ack, raw[HEAD.size:HEAD.size + size], echo, check)

    def __str__(self):
        names = [name for bit, name in ((SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"), (RST, "RST"), (RETURNED, "returned"))
                 if self.flags & bit]
        return (f"{text_of(self.src)}:{self.sport} > {text_of(self.dst)}:{self.dport} {'+'.join(names)} seq {self.seq} "
                f"ack {self.ack} {len(self.data)} bytes")


class World:
    """The sockets of all stand-ins."""

    def __init__(self, record):
        self.record = record
        self.selector = selectors.DefaultSelector()
        self.lock = threading.RLock()
        self.ending = False
        self.ticks = []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def bind(self, ip, port, handler):
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        made.bind((ip, port))
        made.setblocking(False)
        with self.lock:
            self.selector.register(made, selectors.EVENT_READ, handler)
        return made

    def run(self):
        while not self.ending:
            for key, _ in self.selector.select(0.02):
                try:
                    raw, sender = key.fileobj.recvfrom(65536)
                except OSError:
                    continue
                if len(raw) >= HEAD.size:
                    with self.lock:
                        key.data(Packet.decode(raw), raw, sender)
            with self.lock:
                for tick in self.ticks:
                    tick(time.monotonic())

    def end(self):
        self.ending = True
        if self.thread.is_alive():
            self.thread.join()


class Server:
    """One start of a server on a machine with a node beside it."""

    def __init__(self, world, ip, app_port, outbound_port, control_port, service, zone, name):
        self.world, self.ip, self.app_port = world, ip, app_port
        self.outbound, self.control_port = (ip, outbound_port), control_port
        self.service, self.zone, self.name = service, zone, name
        self.born = int(time.time() * 1000)
        self.half, self.open, self.requests = {}, {}, []
        self.state, self.sequence, self.beating = "ready", 0, True
        self.acknowledged = 0
        self.socket = world.bind(ip, app_port, self.on_packet)
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, app_port))
        self.listener.listen(64)
        threading.Thread(target=self.serve_health, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def serve_health(self):
        while True:
            try:
                connection, _ = self.listener.accept()
                connection.settimeout(1)
                if connection.recv(4096):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                connection.close()
            except TimeoutError:
                continue
            except OSError:
                if self.listener.fileno() < 0:
                    return

    def beat(self):
        while self.beating and not self.world.ending:
            self.sequence += 1
            body = json.dumps({"service": self.service, "address": f"{self.ip}:{self.app_port}", "zone": self.zone,
                               "version": "v1", word("maxC", "ncurrency"): 4, "state": self.state,
                               word("coldR", "Ms"): 0, "seq": self.sequence, "born": self.born})
            connection = http.client.HTTPConnection(self.ip, self.control_port, timeout=1)
            try:
                connection.request("POST", f"{word('/instances', '/')}{self.name}/heartbeat", body,
                                   {"Content-Type": "application/json"})
                answer = connection.getresponse()
                answer.read()
                if answer.status == 200:
                    self.acknowledged = self.sequence
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(0.77)

    def send(self, packet):
        self.socket.sendto(packet.encode(), self.outbound)

    def answer(self, got, flags, seq, ack, data=b""):
        self.send(Packet(got.dst, got.dport, got.src, got.sport, flags, seq, ack, data))

    def on_packet(self, got, raw, _):
        key = (got.src, got.sport, got.dst, got.dport)
        if got.flags & SYN and not got.flags & ACK:
            if key in self.open:
                return
            mine = self.half.setdefault(key, random.getrandbits(32))
            self.world.record.say(f"{self.name} ({self.service}) takes {got}")
            return self.answer(got, SYN | ACK, mine, got.seq + 1)
        if key in self.half and got.flags & ACK and got.ack == (self.half[key] + 1) & MASK:
            # What arrives next in order, what is to be sent next.
            self.open[key] = [got.seq, got.ack]
            del self.half[key]
            self.world.record.say(f"{self.name} ({self.service}) opens the flow of {got}")
        if key not in self.open:
            back = bytearray(raw)
            back[30] |= RETURNED
            self.world.record.say(f"{self.name} ({self.service}) does not hold the flow of {got}")
            self.socket.sendto(bytes(back), self.outbound)
            return
        state = self.open[key]
        if got.data and got.seq == state[0]:
            state[0] = (state[0] + len(got.data)) & MASK
            self.requests.append((key, got.data))
            self.world.record.say(f"{self.name} ({self.service}) runs {got.data!r}")
            reply = b"done " + got.data
            self.answer(got, ACK, state[1], state[0], reply)
            state[1] = (state[1] + len(reply)) & MASK
        elif got.data:
            self.answer(got, ACK, state[1], state[0])

    def crash(self):
        """The server is gone, its flows with it."""
        self.beating = False
        with self.world.lock:
            self.world.selector.unregister(self.socket)
        self.socket.close()
        self.listener.close()


class Flow:
    """A client's end of one flow."""

    def __init__(self, client, port, route, router):
        self.client, self.port, self.route, self.router = client, port, route, router
        self.begun = random.getrandbits(32)
        self.next_seq = (self.begun + 1) & MASK
        self.peer_next = None
        self.is_open = False
        self.reset = None
        self.answers = []
        self.waiting = None  # packet, when to send it again, interval
        self.copies = []

    def open(self):
        now = time.monotonic()
        with self.client.world.lock:
            self.copies = [(now, 0), (now + 0.2, 1), (now + 0.6, 2)]

    def packet(self, flags, seq, ack, data=b""):
        return Packet(number_of(self.client.ip), self.port, number_of(self.route[0]), self.route[1], flags, seq, ack, data)

    def send(self, packet, note=True):
        to = self.router(self)
        if to is None:
            return
        if note:
            self.client.world.record.say(f"client sends {packet} to {to[0]}")
        self.client.socket.sendto(packet.encode(), to)

    def request(self, data):
        with self.client.world.lock:
            packet = self.packet(ACK, self.next_seq, self.peer_next, data)
            self.next_seq = (self.next_seq + len(data)) & MASK
            self.send(packet)
            self.waiting = [packet, time.monotonic() + 0.2, 0.2]

    def tick(self, now):
        if self.reset is not None:
            return
        while self.copies and self.copies[0][0] <= now and not self.is_open:
            _, copy = self.copies.pop(0)
            self.send(self.packet(SYN, self.begun, copy))
        if self.waiting and self.waiting[1] <= now:
            self.waiting[2] = min(self.waiting[2] * 2, 1.6)
            self.waiting[1] = now + self.waiting[2]
            self.send(self.waiting[0])

    def on_packet(self, got):
        if got.flags & RST:
            self.client.world.record.say(f"client gets a reset: {got}; the flow is {'open' if self.is_open else 'not open'}")
            if self.reset is None:
                self.reset = got
            return
        if got.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.peer_next = (got.seq + 1) & MASK
                self.client.world.record.say(f"client takes {got}")
                self.send(self.packet(ACK, self.next_seq, self.peer_next))
            return
        if self.waiting and ((got.ack - self.waiting[0].seq) & MASK) >= len(self.waiting[0].data) and got.flags & ACK:
            self.waiting = None
        if got.data and got.seq == self.peer_next:
            self.peer_next = (self.peer_next + len(got.data)) & MASK
            self.answers.append(got.data)
            self.client.world.record.say(f"client gets {got.data!r}")
            self.send(self.packet(ACK, self.next_seq, self.peer_next), note=False)


class Client:
    def __init__(self, world, ip, port):
        self.world, self.ip = world, ip
        self.flows = {}
        self.socket = world.bind(ip, port, self.on_packet)
        world.ticks.append(self.tick)

    def flow(self, port, route, router):
        made = Flow(self, port, route, router)
        with self.world.lock:
            self.flows[port] = made
        return made

    def tick(self, now):
        for flow in list(self.flows.values()):
            flow.tick(now)

    def on_packet(self, got, raw, _):
        flow = self.flows.get(got.dport)
        if flow is not None:
            flow.on_packet(got)
