"""A system of real processes on loopback, for the demo and the trials beside it. Every process is ended by its id."""

import http.client
import json
import pathlib
import re
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TOKEN = "loopback-operator-token"
LINK_KEY = "6f" * 32


class Failure(Exception):
    """The system did not come up, or something did not happen in its time."""


class System:
    """The processes of one run. `base` is the first port: controls take 20, balancers 40, targets 10 each after that."""

    def __init__(self, build, run, base, controls=3):
        self.bin = ROOT / build / "bin"
        self.run = run
        self.base = base
        self.controls = controls
        self.running = {}
        self.commands = {}

    # Processes.

    def start(self, name, arguments):
        log = open(self.run / f"{name}.out", "a")
        self.commands[name] = arguments
        self.running[name] = subprocess.Popen(arguments, stdout=log, stderr=log, cwd=self.run)

    def restart(self, name):
        self.start(name, self.commands[name])

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.running[name].wait()

    def end_all(self):
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
        for process in self.running.values():
            process.wait()

    # Settings.

    def write(self, name, content):
        path = self.run / f"{name}.json"
        path.write_text(json.dumps(content, indent=1))
        return path

    def daemon(self, name, program, zone, settings):
        whole = {"name": name, "vm": f"vm-{name}", "zone": zone, "link_key": LINK_KEY,
                 "timeline_file": f"{name}.timeline"}
        whole.update(settings)
        self.start(name, [self.bin / program, f"--settings={self.write(name, whole)}"])

    def control_links(self):
        return [f"{HOST}:{self.base + i}" for i in range(self.controls)]

    def control_http(self, i):
        return self.base + 10 + i

    def start_control(self, i, zone):
        voters = [{"name": f"control-{n}", "links": f"{HOST}:{self.base + n}",
                   "http": f"{HOST}:{self.control_http(n)}"} for n in range(self.controls)]
        self.daemon(f"control-{i}", "tamaracklatch-controld", zone, {
            "data_folder": f"control-{i}.data", "listen_links": voters[i]["links"], "listen_http": voters[i]["http"],
            "voters": voters, "operators": [{"token": TOKEN, "services": ["*"]}]})

    def balancer_http(self, i):
        return self.base + 20 + i

    def encapsulated(self, i):
        return self.base + 50 + i

    def start_balancer(self, i, zone):
        self.daemon(f"balancer-{i}", "tamaracklatch-balancerd", zone, {
            "listen_http": f"{HOST}:{self.balancer_http(i)}", "listen_links": f"{HOST}:{self.base + 30 + i}",
            "packets": f"{HOST}:{self.base + 40 + i}", "encapsulated": f"{HOST}:{self.encapsulated(i)}",
            "control": self.control_links()})

    def target_port(self, number, which):
        """Ports of one target: 0 UDP and 1 TCP of the stand-in, 2 metrics, 3 packets, 4 relay, 5 requests."""
        return self.base + 100 + 10 * number + which

    def start_target(self, service, zone, number, encapsulated=None):
        """A stand-in target and its daemon. `number` is unique in the run and gives the ports."""
        name = f"{service}-{number}"
        udp, tcp, metrics, packets, relay, requests = (f"{HOST}:{self.target_port(number, i)}" for i in range(6))
        self.start(f"stand-in-{name}", [self.bin / "stand-in-target", f"--name={name}", f"--service={service}",
                                        f"--udp={udp}", f"--tcp={tcp}"])
        target = {"udp": udp, "tcp": tcp}
        if encapsulated:
            target["encapsulated"] = encapsulated
        self.daemon(name, "tamaracklatch-targetd", zone, {
            "service": service, "listen_http": metrics, "packets": packets, "relay": relay, "requests": requests,
            "target": target, "capacity": 4, "control": self.control_links()})
        return name

    # Asking.

    def ask(self, port, method, path, body=None):
        """One request to one process: status and text, or nothing where it gave no whole answer."""
        connection = http.client.HTTPConnection(HOST, port, timeout=8)
        try:
            connection.request(method, path, body, {"Authorization": f"Bearer {TOKEN}"})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def ask_control(self, method, path, body=None, first=0, seconds=30):
        """Asks the control VMs in turn until one decides."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for i in range(self.controls):
                answer = self.ask(self.control_http((first + i) % self.controls), method, path, body)
                if answer is not None and answer[0] not in (503, 504):
                    return answer[0], json.loads(answer[1])
            time.sleep(0.05)
        raise Failure(f"no control VM decided {method} {path} in {seconds} s")

    def voters(self, i):
        """What one control VM says of the log; nothing where it does not answer."""
        answer = self.ask(self.control_http(i), "GET", "/v1/voters")
        return json.loads(answer[1]) if answer else None

    def leader(self):
        for i in range(self.controls):
            state = self.voters(i)
            if state and state["role"] == "leader":
                return i
        raise Failure("no leader was found")

    def revision_of(self, http_port):
        """The newest revision that a daemon has applied, by its metrics; -1 where it does not answer."""
        answer = self.ask(http_port, "GET", "/metrics")
        found = answer and re.search(r"^tamaracklatch_revision\{[^}]*\} (\S+)", answer[1], re.M)
        return float(found.group(1)) if found else -1


def wait_until(what, condition, seconds):
    """Waits until `condition` gives something true, and returns how long it took."""
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > seconds:
            raise Failure(f"{what}: not within {seconds} s")
        time.sleep(0.05)
    return time.monotonic() - began


def print_checks(checks):
    """Prints pairs of a promise and how often it was broken; returns the exit code."""
    for name, count in checks:
        print(f"{name:<64}{count:>4}  {'kept' if count == 0 else 'BROKEN'}")
    return 0 if all(count == 0 for _, count in checks) else 1
