"""A balancer that missed a desired state resets flows that were opened under it."""

import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent))
import cluster2  # noqa: E402
import flows2  # noqa: E402
from cluster2 import word  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
FLOWS = 8


def state(version, service):
    route = {"name": "r-1", "host": ROUTE[0], word("path", "Prefix"): f"/{ROUTE[1]}/", "type": "safe",
             word("timeout", "Ms"): 1500, word("targetL", "Ms"): 200, "priority": 2, "service": service,
             word("maxA", "tempts"): 2}
    services = [{"name": name, word("health", "Path"): "/health", word("maxC", "nections"): 2000, "protocol": "h1",
                 "tls": False} for name in ("desk", "cards")]
    return json.dumps({"version": version, "routes": [route], "services": services,
                       "limits": {word("idle", "Ms"): 15000}})


def body(record, trouble):
    fleet = cluster2.Fleet(record)
    world = flows2.World(record)
    try:
        return run(fleet, world, record, trouble)
    finally:
        world.end()
        fleet.end()


def order(fleet, version, service):
    answer = fleet.ask("POST", word("/config/rep", "lace"), state(version, service), 15, 0,
                       f"orders version {version}, route to {service},")
    if answer is None or answer[0] != 200:
        raise cluster2.CannotRun(f"version {version} was not acknowledged")


def run(fleet, world, record, trouble):
    for i in range(3):
        fleet.start(i, bootstrap=True)
    balancers = ["balancer-1", "balancer-2"]
    for n, name in enumerate(balancers):
        fleet.add(name, "balancer", 20 + n, "zone-0")
        fleet.start_member(name, True)
    targets = [("side-1", "desk", "zone-0"), ("side-2", "desk", "zone-1"), ("side-3", "cards", "zone-0"),
               ("side-4", "cards", "zone-1")]
    servers = []
    for n, (name, service, zone) in enumerate(targets):
        fleet.add(name, "target", 30 + n, zone, service)
        fleet.start_member(name, True)
    world.thread.start()
    time.sleep(1.5)
    for n, (name, service, zone) in enumerate(targets):
        servers.append(flows2.Server(world, fleet.address(30 + n), fleet.app, fleet.outbound, fleet.http_port, service, zone,
                                     f"i-{n + 1}"))
    order(fleet, 1, "desk")
    fleet.wait_ready(balancers)

    # The router: by a hash of the ends over the nodes in rotation.
    rotation = list(balancers)

    def router(flow):
        name = rotation[flow.port % len(rotation)]
        return (fleet.members[name][1], fleet.datagram)

    client = flows2.Client(world, fleet.address(60), fleet.datagram)

    # Balancers search all services for as long as a flow may be old after their start: a system that runs for a while.
    time.sleep(63)
    record.say("the system has run for over a minute")
    if trouble:
        fleet.signal("balancer-2", signal.SIGSTOP)
        rotation.remove("balancer-2")  # it misses two readiness checks
    time.sleep(1.0)
    order(fleet, 2, "cards")
    time.sleep(0.7)
    flows = [client.flow(40000 + n, ROUTE, router) for n in range(FLOWS)]
    for flow in flows:
        flow.open()
    time.sleep(0.8)
    for flow in flows:
        if flow.is_open:
            flow.request(b"request 1 of %d" % flow.port)
    time.sleep(0.5)
    order(fleet, 3, "desk")
    time.sleep(0.3)
    if trouble:
        fleet.signal("balancer-2", signal.SIGCONT)
        fleet.wait_ready(["balancer-2"], 5)
        rotation.append("balancer-2")
    # All machines are in touch again 4 s later; the flows are used again well before their idle time is over.
    time.sleep(6)
    opened = [flow for flow in flows if flow.is_open and flow.answers]
    record.say(f"{len(opened)} of {FLOWS} flows are open and have had an answer")
    if len(opened) < FLOWS // 2:
        raise cluster2.CannotRun("too few flows opened")
    for flow in opened:
        flow.request(b"request 2 of %d" % flow.port)
    time.sleep(3)
    reset = [flow for flow in opened if flow.reset is not None]
    done = [flow for flow in opened if len(flow.answers) >= 2]
    record.say(f"second request: {len(done)} answered, {len(reset)} reset by the system while the server holds the flow")
    return len(reset) > 0


if __name__ == "__main__":
    sys.exit(cluster2.run_case(HERE, body))
