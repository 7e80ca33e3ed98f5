"""Control processes of the deploy file on loopback, and a stand-in of the operator. For the cases 6 to 10.

The names of settings and calls come from platform/words.txt when this runs. Every process is ended by its id.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE = ROOT / "target" / "bin" / "tamaracklatch-node"
WORDS = [line.strip().strip('"') for line in (ROOT / "platform" / "words.txt").read_text().splitlines()
         if line.strip() and not line.startswith("#")]


class CannotRun(Exception):
    """The case could not be run: neither broken nor kept."""


def word(begin, end):
    """The one word of the platform that begins and ends so."""
    found = [each for each in WORDS if each.startswith(begin) and each.endswith(end)]
    if len(found) != 1:
        raise CannotRun(f"{begin}..{end}: {found}")
    return found[0]


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def say(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


class Core:
    """Control processes, each on a loopback address of its own."""

    def __init__(self, record, size=3, tolerated=1):
        if not NODE.exists():
            raise CannotRun(f"{NODE} is not built")
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.tolerated = tolerated
        self.running = {}
        self.outputs = {}
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.ips = [f"{net}.{10 + i}" for i in range(size)]
        self.http_port, self.first_port = self.free_ports(self.ips)
        for i in range(size):
            self.data(i).mkdir()

    def free_ports(self, ips, count=2):
        """Ports that are free at all these addresses."""
        for _ in range(50):
            ports = random.sample(range(20000, 32000), count)
            try:
                for ip in ips:
                    for port in ports:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((ip, port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def data(self, i):
        return self.folder / f"data-{i}"

    def name(self, i):
        return f"core-{i}"

    def write_settings(self, i, bootstrap):
        settings = {
            "nodeName": self.name(i), "role": "control", word("machine", "Class"): "core",
            "serves": [word("control", "plane")], "ip": self.ips[i], "zone": f"zone-{i}", "region": "region-1",
            "zones": {f"zone-{n}": "region-1" for n in range(len(self.ips))},
            word("bind", "Addrs"): {"control": f"{self.ips[i]}:{self.http_port}"},
            word("internal", "Range"): [self.first_port, self.first_port + 15],
            word("seedN", "odes"): [f"{ip}:{self.http_port}" for ip in self.ips[:3]],
            "bootstrap": bootstrap, word("countAs", "Failure"): True, "dataDir": str(self.data(i)),
            "discovery": "local", "entry": "announce", word("heartbeatI", "Ms"): 770,
            "policies": ["base", "drain", "config", "cost", "recover", "flows"],
            word("fault", "Tolerance"): {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": {word("config", "PropagationMs"): 3000, word("grace", "S"): 6, word("maxF", "S"): 60},
        }
        path = self.folder / f"settings-{i}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, i, bootstrap=False):
        path = self.write_settings(i, bootstrap)
        output = open(self.folder / f"output-{i}.txt", "a")
        environment = {"PATH": os.environ.get("PATH", ""), word("TAMARACK", "CONFIG"): str(path)}
        self.running[i] = subprocess.Popen([str(NODE), "control"], cwd=ROOT, env=environment, stdout=output,
                                           stderr=output)
        output.close()
        self.record.say(f"{self.name(i)} started, bootstrap {bootstrap}")

    def signal(self, i, number):
        self.record.say(f"{self.name(i)} gets signal {signal.Signals(number).name}")
        self.running[i].send_signal(number)

    def kill(self, i):
        self.signal(i, signal.SIGKILL)
        self.running[i].wait()

    def stop(self, i, grace=6.0):
        """SIGTERM, and SIGKILL once the grace time is over."""
        self.signal(i, signal.SIGTERM)
        try:
            code = self.running[i].wait(grace)
            self.record.say(f"{self.name(i)} ended with code {code}")
        except subprocess.TimeoutExpired:
            self.kill(i)

    def wipe(self, i):
        """The disk of a machine that is down is lost."""
        shutil.rmtree(self.data(i))
        self.data(i).mkdir()
        self.record.say(f"{self.name(i)} loses its disk")

    def last_output(self, i, lines=3):
        return (self.folder / f"output-{i}.txt").read_text(errors="replace").splitlines()[-lines:]

    def end(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call(self, i, method, path, body=None, limit=1.0):
        """One call to one process: status, text and the address of a redirect; None without an answer."""
        connection = http.client.HTTPConnection(self.ips[i], self.http_port, timeout=limit)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
            answer = connection.getresponse()
            return answer.status, answer.read().decode(errors="replace"), answer.getheader("Location")
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def index_of(self, location):
        host = location.split("//", 1)[1].split(":", 1)[0]
        return self.ips.index(host) if host in self.ips else None

    def ask(self, method, path, body=None, seconds=10.0, first=0, what=""):
        """Sends the same call again, to any node, until a clear answer comes. Returns (status, text, node) or None."""
        end = time.monotonic() + seconds
        pause = 0.05
        at = first
        while time.monotonic() < end:
            i = at % len(self.ips)
            at += 1
            for _ in range(3):
                answer = self.call(i, method, path, body, 1.0 if not body or len(body) < 100000 else 2.0)
                if answer is None or answer[0] != 307 or not answer[2] or self.index_of(answer[2]) is None:
                    break
                i = self.index_of(answer[2])
            if answer is not None and (answer[0] == 200 or 400 <= answer[0] < 500):
                self.record.say(f"operator {what or method} -> {self.name(i)}: {answer[0]}")
                return answer[0], answer[1], i
            time.sleep(pause)
            pause = min(pause * 1.5, 0.4)
        self.record.say(f"operator {what or method}: no clear answer in {seconds:.0f} s")
        return None

    def replace(self, version, routes, seconds=10.0, first=0):
        return self.ask("POST", word("/config/rep", "lace"), desired_state(version, routes), seconds, first,
                        f"orders version {version}")

    def read(self, seconds=10.0, first=0):
        """The version read back; None if no answer came."""
        answer = self.ask("GET", word("/config/re", "ad"), None, seconds, first, "reads the desired state")
        if answer is None or answer[0] != 200:
            return None
        return json.loads(answer[1])["version"]


def desired_state(version, routes):
    """A complete desired state with so many routes."""
    made = []
    for n in range(routes):
        made.append({"name": f"r-{n:05}", "host": f"198.18.{n // 200}.{1 + n % 200}", word("path", "Prefix"): "/8443/",
                     "type": "safe", word("timeout", "Ms"): 1500 + version % 100, word("targetL", "Ms"): 200,
                     "priority": 2, "service": "desk" if n % 2 else "cards", word("maxA", "tempts"): 2})
    services = [{"name": name, word("health", "Path"): "/health", word("maxC", "nections"): 2000, "protocol": "h1",
                 "tls": False} for name in ("desk", "cards")]
    return json.dumps({"version": version, "routes": made, "services": services,
                       "limits": {word("idle", "Ms"): 15000}})


def run_case(folder, body):
    """Runs body(record, trouble); returns 10 where that says that the rule was broken, 0 where not, 2 where it did not run.

    10 and not 1, so that run.sh tells it from an exception that nobody expected.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended then, too
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"with{'' if trouble else 'out'} the disruption")
    try:
        broken = body(record, trouble)
    except CannotRun as why:
        record.say(f"the case could not run: {why}")
        return 2
    record.say("the rule was broken" if broken else "the rule held")
    return 10 if broken else 0


class Fleet(Core):
    """A core, and balancers and target nodes beside it. All ports are the same on all machines."""

    def __init__(self, record, size=3, tolerated=1):
        super().__init__(record, size, tolerated)
        self.net = self.ips[0].rsplit(".", 1)[0]
        self.members = {}  # by name: role, address, settings of the role
        self.seeds = {}    # by name: addresses of its seeds, where they are not the core's
        everywhere = [f"{self.net}.{n}" for n in range(10, 100)]
        self.datagram, self.readiness, self.outbound, self.app, self.http_port, self.first_port = \
            self.free_ports(everywhere, 6)

    def address(self, n):
        return f"{self.net}.{n}"

    def add(self, name, role, n, zone, service=""):
        self.members[name] = (role, self.address(n), zone, service)
        return self.address(n)

    def start_member(self, name, bootstrap=False):
        role, ip, zone, service = self.members[name]
        balances = role == "balancer"
        addresses = {word("datagram", "Addr"): f"{ip}:{self.datagram}", word("readiness", "Addr"): f"{ip}:{self.readiness}"}
        if not balances:
            addresses.update({word("outb", "ound"): f"{ip}:{self.outbound}", "control": f"{ip}:{self.http_port}"})
        settings = {
            "nodeName": name, "role": role, word("machine", "Class"): word("front", "end") if balances else "side",
            "serves": [word("front", "end") if balances else "side"], "ip": ip, "zone": zone, "region": "region-1",
            "zones": {f"zone-{n}": "region-1" for n in range(3)}, word("bind", "Addrs"): addresses,
            word("internal", "Range"): [self.first_port, self.first_port + 15],
            word("seedN", "odes"): [f"{each}:{self.http_port}" for each in self.seeds.get(name, self.ips[:3])],
            "bootstrap": bootstrap, word("countAs", "Failure"): False, "dataDir": None, "discovery": "local", "entry": "announce",
            word("heartbeatI", "Ms"): 770, "policies": ["base", "drain", "config", "cost", "recover", "flows"],
            word("fault", "Tolerance"): {"machines": self.tolerated, "zones": 0, "regions": 0},
            "bounds": {word("config", "PropagationMs"): 3000, word("grace", "S"): 6, word("maxF", "S"): 60},
            word("hash", "Function"): "mod", word("deployment", "Mode"): "agent",
        }
        if not balances:
            settings.update({"service": service, "app": f"{ip}:{self.app}"})
        path = self.folder / f"settings-{name}.json"
        path.write_text(json.dumps(settings))
        output = open(self.folder / f"output-{name}.txt", "a")
        environment = {"PATH": os.environ.get("PATH", ""), word("TAMARACK", "CONFIG"): str(path)}
        self.running[name] = subprocess.Popen([str(NODE), role], cwd=ROOT, env=environment, stdout=output, stderr=output)
        output.close()
        self.record.say(f"{name} started")

    def name(self, i):
        return i if isinstance(i, str) else f"core-{i}"

    def evacuate(self, zone, begins, seconds=10.0):
        """Orders the evacuation of a zone or its end; whether it was acknowledged."""
        what = "begin" if begins else "finish"
        answer = self.ask("POST", f"{word('/evac', '/')}{zone}/{what}", None, seconds, 0, f"orders: {what} {zone}")
        return answer is not None and answer[0] == 200

    def ready(self, name):
        ip = self.members[name][1]
        connection = http.client.HTTPConnection(ip, self.readiness, timeout=0.5)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, names, seconds=20):
        end = time.monotonic() + seconds
        while not all(self.ready(name) for name in names):
            if time.monotonic() > end:
                raise CannotRun(f"not ready: {[name for name in names if not self.ready(name)]}")
            time.sleep(0.1)
        self.record.say(f"ready: {', '.join(names)}")
