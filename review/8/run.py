"""A desired state with a whole number of cold openings a second is never acknowledged, and nothing is served."""

import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent))
import cluster2  # noqa: E402
import flows2  # noqa: E402
from cluster2 import word  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
FLOWS = 10


def state(version, limit):
    made = json.loads(cluster2.desired_state(version, 4))
    for service in made["services"]:
        service[word("coldS", "tartS")] = 2.0
        service[word("coldP", "erS")] = limit if service["name"] == "cards" else 0.0
    return json.dumps(made)


def body(record, trouble):
    fleet = cluster2.Fleet(record)
    world = flows2.World(record)
    try:
        return run(fleet, world, record, trouble)
    finally:
        world.end()
        fleet.end()


def run(fleet, world, record, trouble):
    for i in range(3):
        fleet.start(i, bootstrap=True)
    balancers = ["balancer-1", "balancer-2"]
    for n, name in enumerate(balancers):
        fleet.add(name, "balancer", 20 + n, "zone-0")
        fleet.start_member(name, True)
    targets = [("side-1", "desk", "zone-0"), ("side-2", "cards", "zone-0")]
    for n, (name, service, zone) in enumerate(targets):
        fleet.add(name, "target", 30 + n, zone, service)
        fleet.start_member(name, True)
    world.thread.start()
    time.sleep(1.5)
    for n, (name, service, zone) in enumerate(targets):
        flows2.Server(world, fleet.address(30 + n), fleet.app, fleet.outbound, fleet.http_port, service, zone, f"i-{n + 1}")

    # All processes run and nothing disturbs them. The operator sends the state again until it is accepted, for 30 s.
    time.sleep(2)
    limit = 5.0 if trouble else 0.0
    answer = fleet.ask("POST", word("/config/rep", "lace"), state(1, limit), 30, 0, f"orders version 1, limit {limit}")
    record.say(f"answer: {answer[0] if answer else 'none that is clear'}")
    for i in range(3):
        got = fleet.call(i, "POST", word("/config/rep", "lace"), state(1, limit))
        record.say(f"{fleet.name(i)} says {got[0]} {got[1]}" if got else f"{fleet.name(i)} says nothing")
    time.sleep(4)
    client = flows2.Client(world, fleet.address(60), fleet.datagram)
    flows = [client.flow(41000 + n, ROUTE, lambda flow: (fleet.members[balancers[flow.port % 2]][1], fleet.datagram))
             for n in range(FLOWS)]
    for flow in flows:
        flow.open()
    time.sleep(1.4)
    for flow in flows:
        if flow.is_open:
            flow.request(b"request of %d" % flow.port)
    time.sleep(2)
    done = [flow for flow in flows if flow.answers]
    record.say(f"{len(done)} of {FLOWS} requests were answered")
    return (answer is None or answer[0] != 200) and not done


if __name__ == "__main__":
    sys.exit(cluster2.run_case(HERE, body))
