"""Starts the processes of the deploy file on loopback, with stand-ins for the platform, its servers and its clients.

Names of the platform that may not stand in this folder are read from the repository's list of them when the rig runs.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
SYN, ACK, FIN, RST, RETURNED = 2, 1, 8, 16, 32
HEAD = struct.Struct("<IIIIHIHHIB")
_WORDS = [line.strip('"') for line in (ROOT / "platform/words.txt").read_text().splitlines()
          if line and not line.startswith("#")]


def word(start):
    """The one word of the list that begins so."""
    found = [each for each in _WORDS if each.startswith(start)]
    assert len(found) == 1, (start, found)
    return found[0]


def number_of(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_of(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def pack(src, sport, dst, dport, flags, seq, ack, data=b"", echo=0):
    """A packet with a sum over all that the ends write; the system has no key for it."""
    fields = (seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, len(data), number_of(dst), dport, sport, number_of(src), flags)
    total = 0x5EED
    for byte in struct.pack("<IIHIHHIB", *fields) + data:
        total = (total * 16777619 ^ byte) & 0xFFFFFFFF
    return HEAD.pack(total or 1, echo, *fields) + data


def unpack(raw):
    total, echo, seq, ack, length, dst, dport, sport, src, flags = HEAD.unpack(raw[:HEAD.size])
    return {"sum": total, "echo": echo, "seq": seq, "ack": ack, "dst": ip_of(dst), "dport": dport, "sport": sport,
            "src": ip_of(src), "flags": flags, "data": raw[HEAD.size:], "raw": raw}


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file)
        print(line, flush=True)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.on_packet(data, addr)


async def http(where, method, path, body=b"", limit=1.0):
    """(status, body) of one call; (0, b"") without an answer."""
    async def call():
        reader, writer = await asyncio.open_connection(*where)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {where[0]}\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            fields = {}
            for line in head.decode().split("\r\n")[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    fields[name.lower()] = value.strip()
            content = await reader.readexactly(int(fields.get("content-length", 0)))
            return status, content, fields
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b"", {}


class Rig:
    CONTROL, INTERNAL, FLOWS, READY, APP, OUT = 8166, 7720, 8172, 8167, 8642, 8173

    def __init__(self, record, cores=3, fronts=2, beat_ms=1200, window_ms=5000, propagation_ms=4000, drain_ms=4000,
                 idle_ms=15000, max_flow_s=60):
        self.record = record
        self.beat_ms, self.window_ms, self.propagation_ms = beat_ms, window_ms, propagation_ms
        self.drain_ms, self.idle_ms, self.max_flow_s = drain_ms, idle_ms, max_flow_s
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.processes = {}
        self.net = self.free_net()
        self.cores = [self.ip(10 + i) for i in range(cores)]
        self.fronts = [self.ip(30 + i) for i in range(fronts)]
        self.client_ip = self.ip(100)
        self.host = self.ip(200)
        self.rotation = list(self.fronts)
        self.flows = {}
        self.next_port = 40000
        self.tasks = []
        self.version = 0
        self.last_run = {}

    def free_net(self):
        for _ in range(100):
            net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
            try:
                for port, kind in ((9464, socket.SOCK_STREAM), (self.FLOWS, socket.SOCK_DGRAM)):
                    probe = socket.socket(socket.AF_INET, kind)
                    probe.bind((net + "30", port))
                    probe.close()
                return net
            except OSError:
                continue
        raise RuntimeError("no free addresses")

    def ip(self, last):
        return self.net + str(last)

    # Processes of the system.

    def settings(self, role, ip, first=True, service=None):
        classes = {"balancer": word("fronte"), "target": "side", "control": "core"}
        serves = {"balancer": word("fronte"), "target": "side", "control": word("control_p")}
        listen = {"control": {"control": f"{ip}:{self.CONTROL}"},
                  "balancer": {word("datagramA"): f"{ip}:{self.FLOWS}", word("readinessA"): f"{ip}:{self.READY}"},
                  "target": {word("datagramA"): f"{ip}:{self.FLOWS}", word("readinessA"): f"{ip}:{self.READY}",
                             word("outb"): f"{ip}:{self.OUT}", "control": f"{ip}:{self.CONTROL}"}}[role]
        made = {
            "nodeName": f"{role}-{ip.rsplit('.', 1)[1]}", "role": role, word("machineC"): classes[role],
            "serves": [serves[role]], "ip": ip, "zone": "a", "region": "r", "zones": {"a": "r"},
            word("bindA"): listen, word("internalP"): [self.INTERNAL, self.INTERNAL + 15],
            word("seedN"): [f"{each}:{self.CONTROL}" for each in self.cores[:3]],
            "bootstrap": first, word("countAs"): role == "control",
            "limits": {"cpuFraction": 0.25, "cpuSpeedFactor": 1, "memoryMb": 256, "maxFds": 4096, "linkMbps": 1000.0,
                       "diskMb": 128 if role == "control" else 0},
            "dataDir": None, "discovery": "local", "entry": "announce", word("heartbeatInt"): self.beat_ms,
            "policies": ["base", "drain", "config", "cost", "recover", "flows"],
            word("faultT"): {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {word("seedL"): 3, "reuseAfterS": 2, word("stabilityW"): self.window_ms, "ackTimeoutMs": 6000,
                       word("catchUp"): 6, word("drainM"): self.drain_ms, word("grace"): 6, "lossSlackMs": 200,
                       word("configProp"): self.propagation_ms, word("rollbackS"): 250, "outerMs": 15000,
                       word("recovery"): 15, "flowReorderMs": 2000, word("maxFlow"): self.max_flow_s},
            "config_mode": "highest", word("hashF"): "mod", word("deploym"): "agent"}
        if role == "control":
            data = self.folder / f"data-{ip}"
            data.mkdir(exist_ok=True)
            made["dataDir"] = str(data)
        if role == "target":
            made["app"] = f"{ip}:{self.APP}"
            made["service"] = service
        return made

    def start(self, role, ip, first=True, service=None):
        path = self.folder / f"{role}-{ip}.json"
        path.write_text(json.dumps(self.settings(role, ip, first, service)))
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        log = open(self.folder / f"{role}-{ip}.log", "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment[word("TAMARACKLATCH_")] = str(path)
        self.processes[ip] = subprocess.Popen(roles[role]["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                                              env=environment)
        return self.processes[ip]

    def start_server(self, ip, service, **more):
        order = {"ip": ip, "app": self.APP, "out": self.OUT, "control": self.CONTROL, "service": service, "zone": "a",
                 "beat_s": self.beat_ms / 1000, "id": f"i-{ip.rsplit('.', 1)[1]}", "slots": 4, **more}
        log = open(self.folder / f"server-{ip}.log", "a")
        made = subprocess.Popen([sys.executable, str(HERE / "server.py"), json.dumps(order)], stdout=log, stderr=log)
        self.processes["server " + ip] = made
        return made

    def server_lines(self, ip):
        path = self.folder / f"server-{ip}.log"
        lines = []
        for line in path.read_text().splitlines() if path.exists() else []:
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"what": line})
        return lines

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    async def replace(self, routes, services, limit=20):
        """Sends a desired state until it is acknowledged."""
        self.version += 3
        body = json.dumps({"version": self.version, "routes": routes, "services": [
            {"name": name, word("healthP"): "/health", word("maxConn"): 2000, "protocol": "h1", "tls": False}
            for name in services], "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeout" + "Ms": 3000,
                                              word("idleT"): self.idle_ms}}).encode()
        return await self.order("POST", word("/config/rep"), body, limit)

    def route(self, name, port, service, kind="safe"):
        return {"name": name, "host": self.host, word("pathP"): f"/{port}/", "type": kind, word("timeoutM"): 1500,
                word("targetL"): 150, "priority": 2, "service": service, word("maxAtt"): 2}

    async def order(self, method, path, body=b"", limit=20):
        end = time.monotonic() + limit
        at = 0
        while time.monotonic() < end:
            where, target = (self.cores[at % len(self.cores)], self.CONTROL), path
            for _ in range(3):
                status, content, fields = await http(where, method, target, body)
                if status != 307:
                    break
                rest = fields["location"].split("://", 1)[1]
                host, _, tail = rest.partition("/")
                where, target = (host.split(":")[0], int(host.split(":")[1])), "/" + tail
            if status == 200:
                return status, content
            if status in (400, 409, 412, 413, 422):
                return status, content
            at += 1
            await asyncio.sleep(0.2)
        return 0, b""

    # Routers and clients.

    async def open_clients(self):
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(lambda: Datagrams(self.on_client_packet),
                                                          local_addr=(self.client_ip, self.FLOWS))
        self.client_socket = protocol.transport
        self.tasks.append(asyncio.create_task(self.watch_fronts()))

    async def watch_fronts(self):
        misses = {}
        while True:
            answers = await asyncio.gather(*(http((ip, self.READY), "GET", "/ready", limit=0.5) for ip in self.fronts))
            for ip, answer in zip(self.fronts, answers):
                misses[ip] = 0 if answer[0] == 200 else misses.get(ip, 0) + 1
            ready = [ip for ip in self.fronts if misses[ip] < 2]
            rotation = ready if 2 * len(ready) >= len(self.fronts) else list(self.fronts)
            if rotation != self.rotation:
                self.record(f"router: rotation is now {rotation}")
            self.rotation = rotation
            await asyncio.sleep(0.5)

    def front_of(self, flow):
        return self.rotation[(flow.sport * 2654435761 >> 7) % len(self.rotation)]

    def send(self, flow, packet):
        self.client_socket.sendto(packet, (self.front_of(flow), self.FLOWS))

    def on_client_packet(self, raw, addr):
        packet = unpack(raw)
        flow = self.flows.get((packet["dport"], packet["sport"]))
        if flow:
            flow.on_packet(packet)

    def new_flow(self, port):
        self.next_port += 1
        flow = Flow(self, self.next_port, port)
        self.flows[(flow.sport, port)] = flow
        return flow

    async def wait_ready(self, services, limit=25):
        """Until a request of each route's port is served."""
        end = time.monotonic() + limit
        for port in services:
            while True:
                flow = self.new_flow(port)
                if await flow.open() and await flow.request("warm") == "200":
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.3)
        return True


class Flow:
    """A client's end of one flow."""

    def __init__(self, rig, sport, port):
        self.rig, self.sport, self.port = rig, sport, port
        self.seq = random.getrandbits(31)
        self.peer = None  # next byte expected
        self.reset = None
        self.reset_foreign = False
        self.event = asyncio.Event()
        self.inbox = b""
        self.first = self.opened = None
        self.acked = None

    def make(self, flags, seq, ack, data=b""):
        return pack(self.rig.client_ip, self.sport, self.rig.host, self.port, flags, seq, ack, data)

    def on_packet(self, packet):
        flags = packet["flags"]
        if flags & RST:
            if self.reset is None:
                self.reset = time.monotonic()
                self.reset_foreign = packet["sum"] == 0
                self.rig.record(f"client: flow {self.sport} gets a reset"
                                f"{' of the system' if self.reset_foreign else ' of a server'}")
        elif flags & SYN:
            if self.peer is None:
                self.peer = (packet["seq"] + 1) & 0xFFFFFFFF
                self.opened = time.monotonic()
            if self.peer == (packet["seq"] + 1) & 0xFFFFFFFF:
                self.rig.send(self, self.make(ACK, self.seq + 1, self.peer))
        else:
            self.acked = packet["ack"]
            if packet["data"] and packet["seq"] == self.peer:
                self.inbox += packet["data"]
                self.peer = (self.peer + len(packet["data"])) & 0xFFFFFFFF
            if packet["data"]:
                self.rig.send(self, self.make(ACK, self.seq + 1, self.peer))
        self.event.set()

    async def wait(self, until, done):
        while not done() and self.reset is None:
            left = until - time.monotonic()
            if left <= 0:
                return
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except asyncio.TimeoutError:
                return

    async def open(self):
        self.first = time.monotonic()
        for copy, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.rig.send(self, self.make(SYN, self.seq, copy))
            await self.wait(self.first + until, lambda: self.peer is not None)
            if self.peer is not None or self.reset is not None:
                break
        return self.peer is not None and self.reset is None

    async def request(self, name, deadline=2.0):
        """'200', 'reset' or 'deadline'."""
        data = (f"GET /{name} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}-{self.sport}\r\n\r\n").encode()
        self.inbox = b""
        begun, pause = time.monotonic(), 0.2
        packet_seq = self.seq + 1
        while True:
            if self.reset is not None:
                return "reset"
            self.rig.send(self, self.make(ACK, packet_seq, self.peer, data))
            await self.wait(min(begun + deadline, time.monotonic() + pause), lambda: b"\r\n\r\nok" in self.inbox)
            if b"\r\n\r\nok" in self.inbox:
                self.seq += len(data)
                return "200"
            if self.reset is not None:
                return "reset"
            if time.monotonic() >= begun + deadline:
                return "deadline"
            pause = min(pause * 2, 1.6)


def main(play, **settings):
    """Runs `play(rig, record, trouble)`; it returns True if the rule held, False if it was broken, None if it could not
    run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE") != "0"
    rig = Rig(record, **settings)

    async def run():
        return await asyncio.wait_for(play(rig, record, trouble), 112)

    try:
        held = asyncio.run(run())
    except (asyncio.TimeoutError, OSError, RuntimeError, AssertionError) as error:
        record(f"could not run: {error!r}")
        held = None
    finally:
        rig.stop_all()
    record({True: "the rule held", False: "the rule is BROKEN", None: "the case could not run"}[held])
    sys.exit({True: 0, False: 1, None: 2}[held])
