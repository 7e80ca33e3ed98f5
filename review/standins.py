"""Stand-ins of the platform, for the scripts in this folder: settings files and start of the nodes, the routers, clients
and servers of flows, the operator. One event loop; every address is a loopback address.

The words of the platform are taken from platform/words.txt when a script runs: word("config_read") is its entry that has
the same letters.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "target/bin/tamaracklatch-node"
HEAD = struct.Struct("<IIIIHIHHIB")
SYN, ACK, FIN, RST, RETURNED = 2, 1, 8, 16, 32


def letters(text):
    return re.sub("[^a-z]", "", text.lower())


WORDS = {letters(line): line.strip('"') for line in (ROOT / "platform/words.txt").read_text().splitlines()
         if line and not line.startswith("#")}


def word(text):
    return WORDS[letters(text)]


def number_of(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq % 2**32, ack % 2**32, data, echo

    def encode(self):
        # `sum` stands for the keyed sum: it covers the fields that nobody may change, and isn't 0.
        total = hash((self.src, self.sport, self.dst, self.dport, self.flags & ~RETURNED, self.seq, self.ack, self.data))
        return HEAD.pack(total % (2**32 - 1) + 1, self.echo, self.seq, self.ack, len(self.data), number_of(self.dst),
                         self.dport, self.sport, number_of(self.src), self.flags) + self.data

    @staticmethod
    def decode(raw):
        _, echo, seq, ack, size, dst, dport, sport, src, flags = HEAD.unpack(raw[:HEAD.size])
        packet = Packet(text_of(src), sport, text_of(dst), dport, flags, seq, ack, raw[HEAD.size:HEAD.size + size], echo)
        packet.own_reset = raw[:4] == b"\0\0\0\0"
        return packet


class Record:
    """record.txt: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begun = time.monotonic()

    def __call__(self, *what):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} " + " ".join(str(each) for each in what) + "\n")
        self.file.flush()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


async def bind_udp(address, port, handler):
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=(address, port))
    return protocol.transport


async def call(address, port, method, path, body=None, timeout=1.0):
    """One HTTP call; (status, fields, body), or None where there is no response in time."""
    async def run():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            raw = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\nContent-Type: application/json\r\n" \
                   f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + raw)
            answer = await reader.read(-1)
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        return int(lines[0].split()[1]), fields, rest

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Node:
    """One process of the system on its own address."""

    def __init__(self, system, role, name, address, more):
        self.system, self.role, self.name, self.address = system, role, name, address
        self.settings = dict(system.common, **{
            "nodeName": name, "role": role, "ip": address, "zone": "zone-a", "region": "region",
            "zones": {"zone-a": "region"}, "dataDir": None, **more})
        self.settings["limits"] = {"cpuFraction": 1, "cpuSpeedFactor": 1, "memoryMb": 256, "maxFds": 4096,
                                   "linkMbps": 1000.0, "diskMb": 128 if role == "control" else 0}
        self.path = system.folder / f"{name}.json"
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        log = open(self.system.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [PROGRAM, self.role], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C", word("tamaracklatch_config"): str(self.path)})
        log.close()
        self.system.record("start", self.name, self.process.pid)

    def signal(self, number):
        self.system.record("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    async def stop(self):
        """As the platform stops a process: SIGTERM, after the grace SIGKILL."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + self.system.bounds[word("grace_s")]
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait()
        self.system.record("ended", self.name, self.process.returncode)

    async def roll(self, off=0.1):
        await self.stop()
        await asyncio.sleep(off)
        self.settings["bootstrap"] = False
        self.start()


class System:
    """Three control nodes, balancers and targets, on addresses 127.B.x.y with B drawn by the script's process."""

    def __init__(self, record, balancers, services, bounds=None, idle_ms=15000):
        self.record = record
        self.net = f"127.{random.randint(20, 250)}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.idle_ms = idle_ms
        self.bounds = {
            word("seed_lag_s"): 3, "reuseAfterS": 2, word("stability_window_ms"): 4000, "ackTimeoutMs": 5000,
            word("catch_up_s"): 4, word("drain_ms"): 3000, word("grace_s"): 6, "lossSlackMs": 200,
            word("config_propagation_ms"): 3000, word("rollback_slack_ms"): 250, "outerMs": 12000, word("recovery_s"): 12,
            "flowReorderMs": 2000, word("max_flow_s"): 60, **(bounds or {})}
        self.app, self.control, self.ready, self.data, self.out, self.inner = self.free_ports(6)
        seeds = [f"{self.net}.1.{i + 1}:{self.control}" for i in range(3)]
        self.common = {
            word("internal_port_range"): [self.inner, self.inner], word("seed_nodes"): seeds, "bootstrap": True,
            word("count_as_failure"): False, "discovery": "local", "entry": "announce", word("heartbeat_interval_ms"): 1200,
            "policies": ["base", "drain", "config", "cost", "recover", "flows"],
            word("fault_tolerance"): {"machines": 1, "zones": 0, "regions": 0}, "bounds": self.bounds,
            "config_mode": "highest", word("hash_function"): "mod", word("deployment_mode"): "agent"}
        addrs = word("bind_addrs")
        self.controls, self.balancers, self.targets = [], [], []
        for i in range(3):
            address = f"{self.net}.1.{i + 1}"
            data = self.folder / f"data-{i + 1}"
            data.mkdir()
            self.controls.append(Node(self, "control", f"control-{i + 1}", address, {
                word("machine_class"): "core", word("count_as_failure"): True, "dataDir": str(data), "serves": ["control_" + "plane"],
                addrs: {"control": f"{address}:{self.control}"}}))
        for i in range(balancers):
            self.add_balancer()
        for i, service in enumerate(services):
            self.add_target(service)

    def free_ports(self, count):
        """Ports that nobody has on any address."""
        found = []
        while len(found) < count:
            port = random.randint(10000, 30000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("0.0.0.0", port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
        return found

    def add_balancer(self):
        address = f"{self.net}.2.{len(self.balancers) + 1}"
        node = Node(self, "balancer", f"balancer-{len(self.balancers) + 1}", address, {
            word("machine_class"): "front" + "end", "serves": ["front" + "end"], word("bind_addrs"): {
                word("datagram_addr"): f"{address}:{self.data}", word("readiness_addr"): f"{address}:{self.ready}"}})
        self.balancers.append(node)
        return node

    def add_target(self, service):
        address = f"{self.net}.3.{len(self.targets) + 1}"
        node = Node(self, "target", f"target-{len(self.targets) + 1}", address, {
            word("machine_class"): "side", "serves": ["side"], "service": service, "app": f"{address}:{self.app}",
            word("bind_addrs"): {
                word("datagram_addr"): f"{address}:{self.data}", 'outbound': f"{address}:{self.out}",
                word("readiness_addr"): f"{address}:{self.ready}", "control": f"{address}:{self.control}"}})
        self.targets.append(node)
        return node

    def nodes(self):
        return self.controls + self.balancers + self.targets

    def start(self):
        for node in self.nodes():
            node.start()

    def end(self, keep=False):
        for node in self.nodes():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if keep:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    def __init__(self, system):
        self.system = system

    def state(self, version, routes, services):
        """`routes`: lists of name, host, port, type and a service or a list of (service, weight)."""
        out = []
        for name, host, port, kind, to in routes:
            route = {"name": name, "host": host, word("path_prefix"): f"/{port}/", "type": kind, word("timeout_ms"): 5000,
                     word("target_latency_ms"): 500, "priority": 2, word("max_attempts"): 2}
            if isinstance(to, str):
                route["service"] = to
            else:
                route["backends"] = [{"service": each, "weight": weight} for each, weight in to]
            out.append(route)
        return {"version": version, "routes": out,
                "services": [{"name": each, word("health_path"): "/health", word("max_connections"): 2000,
                              "protocol": "h1", "tls": False} for each in services],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                           word("idle_timeout_ms"): self.system.idle_ms}}

    async def replace(self, state, limit=20.0):
        """Sends the state until it is acknowledged; the time of the ack."""
        raw = state if isinstance(state, bytes) else json.dumps(state).encode()
        until = time.monotonic() + limit
        tried = 0
        while time.monotonic() < until:
            address, port = self.system.controls[tried % 3].address, self.system.control
            tried += 1
            for _ in range(3):
                answer = await call(address, port, "POST", word("config_replace"), raw)
                if answer is None or answer[0] != 307:
                    break
                where = re.match(r"http://([0-9.]+):(\d+)/", answer[1].get("location", ""))
                if not where:
                    break
                address, port = where.group(1), int(where.group(2))
            self.system.record("replace", "answer", answer and answer[0], "from", address)
            if answer is not None and answer[0] == 200:
                return time.monotonic()
            if answer is not None and answer[0] in (400, 409, 412, 413, 422):
                return None
            await asyncio.sleep(0.3)
        return None


class Routers:
    """Forward each packet of a client to a balancer that is ready, by a hash of its addresses and ports."""

    def __init__(self, system):
        self.system = system
        self.misses = {}
        self.in_rotation = []
        self.link = None

    async def run(self):
        self.link = await bind_udp(f"{self.system.net}.9.200", 0, lambda *_: None)
        while True:
            await asyncio.gather(*(self.look(node) for node in self.system.balancers))
            await asyncio.sleep(0.5)

    async def look(self, node):
        answer = await call(node.address, self.system.ready, "GET", "/ready", timeout=0.45)
        missed = self.misses[node.name] = 0 if answer and answer[0] == 200 else self.misses.get(node.name, 2) + 1
        before = list(self.in_rotation)
        if missed == 0 and node not in self.in_rotation:
            self.in_rotation = [each for each in self.system.balancers if each in before or each is node]
        elif missed >= 2 and node in self.in_rotation:
            self.in_rotation.remove(node)
        if before != self.in_rotation:
            self.system.record("rotation", *(each.name for each in self.in_rotation))

    def forward(self, packet):
        chosen = self.in_rotation
        if 2 * len(chosen) < len(self.system.balancers):
            chosen = self.system.balancers
        key = f"{packet.src} {packet.sport} {packet.dst} {packet.dport}"
        at = int.from_bytes(hashlib.sha256(key.encode()).digest()[:8], "big") % len(chosen)
        self.link.sendto(packet.encode(), (chosen[at].address, self.system.data))
        return chosen[at]


class Server:
    """A server beside a target node: holds flows, answers a request of one packet with an answer of one packet."""

    def __init__(self, system, node, service, first_count=1):
        self.system, self.node, self.service = system, node, service
        self.name = f"server-{node.name}"
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.count = first_count
        self.state = "ready"
        self.flows = {}
        self.arrived = []  # (when, flow key, taken)
        self.run_names = []
        self.link = None

    def beat(self):
        body = {"service": self.service, "address": f"{self.node.address}:{self.system.app}", "zone": "zone-a",
                "version": "v1", word("max_concurrency"): 4, "state": self.state, word("cold_remaining_ms"): 0,
                "seq": self.count, "born": self.born}
        self.count += 1
        return body

    async def tell(self):
        body = self.beat()
        answer = await call(self.node.address, self.system.control, "POST", f"{word('instances')}{self.id}/heartbeat", body)
        self.system.record("beat", self.name, body["state"], body["seq"], "answer", answer and answer[0])
        return answer

    async def run(self):
        self.link = await bind_udp(self.node.address, self.system.app, self.on_packet)
        server = await asyncio.start_server(self.health, self.node.address, self.system.app)
        async with server:
            while True:
                began = time.monotonic()
                await self.tell()
                await asyncio.sleep(max(0.1, 1.2 - (time.monotonic() - began)))

    async def health(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        await writer.drain()
        writer.close()

    def send(self, packet):
        self.link.sendto(packet.encode(), (self.node.address, self.system.out))

    def on_packet(self, raw, _):
        packet = Packet.decode(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        back = lambda flags, seq, ack, data=b"": self.send(
            Packet(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data))
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(32), "next": packet.seq + 1, "open": False, "sent": None}
                flow["mine"] = flow["seq"] + 1
            self.system.record("server", self.name, "opening", packet.src, packet.sport, packet.dport)
            if not flow["open"]:
                back(SYN | ACK, flow["seq"], packet.seq + 1)
            return
        held = flow is not None and (flow["open"] or packet.ack == (flow["seq"] + 1) % 2**32)
        self.arrived.append((time.monotonic(), key, held))
        if not held:
            self.system.record("server", self.name, "holds no flow", packet.src, packet.sport, packet.dport)
            packet.flags |= RETURNED
            self.link.sendto(raw[:30] + bytes([raw[30] | RETURNED]) + raw[31:], (self.node.address, self.system.out))
            return
        if not flow["open"]:
            flow["open"] = True
            self.system.record("server", self.name, "flow open", packet.src, packet.sport, packet.dport)
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            if packet.seq % 2**32 == flow["next"] % 2**32:
                name = re.search(rb"X-Request-Id: (\S+)", packet.data).group(1).decode()
                self.system.record("run", self.name, self.service, name)
                self.run_names.append(name)
                body = f"of {name}".encode()
                answer = (f"HTTP/1.1 200 OK\r\nX-Server-Seal: {self.id}/{name}\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body
                flow["next"] = packet.seq + len(packet.data)
                flow["sent"] = (flow["mine"], answer)
                flow["mine"] += len(answer)
            if flow["sent"]:
                back(ACK, flow["sent"][0], flow["next"], flow["sent"][1])


class Flow:
    """A client's flow, from the opening on."""

    def __init__(self, client, port, host, dport):
        self.client, self.key = client, (client.address, port, host, dport)
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.reset = None      # when a reset of the system's own came
        self.server = None     # whose answer was taken
        self.answers = {}
        self.changed = asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        src, sport, dst, dport = self.key
        packet = Packet(src, sport, dst, dport, flags, seq, ack, data)
        return self.client.routers.forward(packet)

    async def wait(self, condition, seconds):
        until = time.monotonic() + seconds
        while not condition() and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        return condition()

    async def open(self):
        for copy, pause in ((0, 0.2), (1, 0.4), (2, 0.8)):
            by = self.send(SYN, self.seq, copy)
            self.client.system.record("client", "opens", *self.key, "copy", copy, "by", by.name)
            if await self.wait(lambda: self.is_open or self.reset, pause):
                break
        return self.is_open

    async def ask(self, name, deadline):
        """One request; its answer, or None by the deadline (seconds) or after a reset."""
        data = f"GET /{name} HTTP/1.1\r\nHost: service\r\nX-Request-Id: {name}\r\n\r\n".encode()
        begun = time.monotonic()
        pause, seq = 0.2, self.seq + 1
        self.seq += len(data)
        tried = 0
        while time.monotonic() - begun < deadline and tried < 9 and not self.reset:
            by = self.send(ACK, seq, self.ack, data)
            tried += 1
            self.client.system.record("client", "sends", name, *self.key, "try", tried, "by", by.name)
            left = deadline - (time.monotonic() - begun)
            if await self.wait(lambda: name in self.answers or self.reset, max(0.0, min(pause, left))):
                break
            pause = min(1.6, pause * 2)
        self.client.system.record("client", "answer", name, name in self.answers)
        if name in self.answers:
            self.send(ACK, self.seq + 1, self.ack)
        return self.answers.get(name)

    def on_packet(self, packet):
        if packet.flags & RST:
            self.reset = time.monotonic()
            self.client.system.record("client", "reset", *self.key, "the system's own" if packet.own_reset else "a server's")
            self.own_reset = packet.own_reset
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open, self.ack = True, packet.seq + 1
        elif packet.data:
            name = re.search(rb"X-Server-Seal: [^/]+/(\S+)\r\n", packet.data).group(1).decode()
            if packet.seq == self.ack % 2**32:
                self.ack += len(packet.data)
                self.answers[name] = packet.data
        self.changed.set()


class Client:
    def __init__(self, system, routers, number):
        self.system, self.routers = system, routers
        self.address = f"{system.net}.9.{number}"
        self.flows = {}
        self.next_port = 40000 + random.randint(0, 5000)

    async def start(self):
        # What is for a client comes to its address, at the port of the routers' datagrams.
        await bind_udp(self.address, self.system.data, self.on_packet)

    def flow(self, host, dport):
        self.next_port += 1
        flow = Flow(self, self.next_port, host, dport)
        self.flows[flow.key] = flow
        return flow

    def on_packet(self, raw, _):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.on_packet(packet)


async def until_ready(system, routers, limit=25.0):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if len(routers.in_rotation) == len(system.balancers):
            return True
        await asyncio.sleep(0.1)
    return False


def run(main, folder, limit=112.0):
    """Runs a case, ends it by the limit or SIGTERM; 2 where it could not run."""
    async def bounded():
        task = asyncio.ensure_future(main(Record(folder)))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, limit)

    try:
        return asyncio.run(bounded())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        return 2


def foreign_only(system, servers, flow, owner, slack, since=0.0):
    """FLOW (b): the first span of `slack` seconds in which three or more packets of the flow reach other servers and none
    its own; None if there is none. What arrives within 0.1 s counts as one packet, as it may visit several servers."""
    own = sorted(when for when, key, _ in owner.arrived if key == flow.key)
    packets = []
    for when in sorted(when for each in servers if each is not owner for when, key, _ in each.arrived if key == flow.key):
        if when >= since and (not packets or when - packets[-1] > 0.1):
            packets.append(when)
    for first in packets:
        span = [when for when in packets if first <= when <= first + slack]
        if len(span) >= 3 and not any(first <= when <= first + slack for when in own):
            return first
    return None
