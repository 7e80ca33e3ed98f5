"""A server whose count of heartbeats begins at 0. The node beside it is killed within the first heartbeat interval and
started again, as the platform does. A flow that opened before, and then pauses, must go on."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "harvest-desk"


async def main(record):
    system = standins.System(record, balancers=2, services=[SERVICE] * 2)
    operator = standins.Operator(system)
    routers = standins.Routers(system)
    client = standins.Client(system, routers, 1)
    servers = [standins.Server(system, node, SERVICE, first_count=0) for node in system.targets]
    tasks = []
    try:
        for node in system.controls + system.balancers + system.targets[:1]:
            node.start()
        tasks.append(asyncio.create_task(routers.run()))
        tasks.append(asyncio.create_task(servers[0].run()))
        await client.start()
        host = f"{system.net}.10.1"
        if await operator.replace(operator.state(3, [("route-0", host, 8000, "safe", SERVICE)], [SERVICE])) is None:
            return 2
        if not await standins.until_ready(system, routers):
            return 2
        await asyncio.sleep(5)
        # A second machine starts, with its node and its server; flows open at once.
        system.targets[1].start()
        await asyncio.sleep(0.3)
        servers[1].born = int(time.time() * 1000)
        tasks.append(asyncio.create_task(servers[1].run()))
        await asyncio.sleep(0.2)
        flows = []
        begun = time.monotonic()
        while time.monotonic() - begun < 0.35 and len(flows) < 40:
            flow = client.flow(host, 8000)
            if await flow.open() and await flow.ask(f"first-{len(flows)}", 2.0):
                flows.append(flow)
        here = [flow for flow in flows if flow.key in servers[1].flows]
        record("flows", len(flows), "at the server that started", len(here))
        if not here:
            return 2
        if TROUBLE:
            node = system.targets[1]
            node.signal(signal.SIGKILL)
            node.process.wait()
            await asyncio.sleep(0.1)
            node.settings["bootstrap"] = False
            node.start()
        # Every machine is in touch again: 4 s after the kill, and a second more.
        await asyncio.sleep(6)
        record("the flows go on")
        answers = await asyncio.gather(*(flow.ask(f"second-{i}", 2.0) for i, flow in enumerate(flows)))
        broken = [flow for flow in flows if flow.reset is not None and flow.own_reset and flow in here]
        record("unanswered", sum(each is None for each in answers), "of", len(flows), "reset by the system", len(broken))
        print(f"{len(broken)} of {len(here)} open flows reset by the system")
        return 1 if broken else 0
    finally:
        for task in tasks:
            task.cancel()
        system.end(keep=os.environ.get("KEEP") == "1")


if __name__ == "__main__":
    sys.exit(standins.run(main, HERE))
