"""Two services whose names have the same 32-bit tag. Each route names one of them; every request must run there."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The first pair has one tag. It was found among 126,480 names of two everyday words and a suffix.
SERVICES = ["stockstats-main", "tool-map-v1" if TROUBLE else "tool-map-v2"]
FLOWS = 20  # on each route


async def main(record):
    system = standins.System(record, balancers=2, services=SERVICES)
    operator = standins.Operator(system)
    routers = standins.Routers(system)
    client = standins.Client(system, routers, 1)
    servers = [standins.Server(system, node, service) for node, service in zip(system.targets, SERVICES)]
    tasks = []
    try:
        system.start()
        tasks = [asyncio.create_task(each.run()) for each in (*servers, routers)]
        await client.start()
        host = f"{system.net}.10.1"
        routes = [(f"route-{i}", host, 8000 + i, "unsafe", service) for i, service in enumerate(SERVICES)]
        if await operator.replace(operator.state(3, routes, SERVICES)) is None:
            return 2
        if not await standins.until_ready(system, routers):
            return 2
        await asyncio.sleep(4)
        answered = foreign = 0
        for i in range(FLOWS * len(SERVICES)):
            service = SERVICES[i % len(SERVICES)]
            flow = client.flow(host, 8000 + i % len(SERVICES))
            if not await flow.open():
                continue
            answer = await flow.ask(f"r{i}-for-{service}", 2.0)
            if answer is None:
                continue
            answered += 1
            ran = [each for each in servers if any(f"r{i}-for-" in name for name in each.run_names)]
            for server in ran:
                if server.service != service:
                    foreign += 1
                    record("broken: request", f"r{i}", "for", service, "was run by", server.service, "and answered with success")
        record("answered", answered, "run by the other service", foreign)
        print(f"{foreign} of {answered} requests run by the other service")
        if foreign:
            return 1
        return 0 if answered >= FLOWS else 2
    finally:
        for task in tasks:
            task.cancel()
        system.end(keep=os.environ.get("KEEP") == "1")


if __name__ == "__main__":
    sys.exit(standins.run(main, HERE))
