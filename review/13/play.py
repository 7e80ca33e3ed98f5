"""A service whose name is longer than 128 bytes is never served."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig3"))
import rig as rigs  # noqa: E402

LONG_PORT, SHORT_PORT = 8443, 8080
LONG = "community-harvest-records-" * 6  # 156 bytes
SHORT = "community-harvest-records"


async def tries(rig, port, count):
    answers = []
    for _ in range(count):
        flow = rig.new_flow(port)
        answers.append(await flow.request("try") if await flow.open() else "not opened")
        await asyncio.sleep(0.5)
    return answers


async def restart_ended(rig, record, sides, services, ended):
    """The platform starts a process that ended again after a short delay."""
    while True:
        await asyncio.sleep(0.5)
        for side, service in zip(sides, services):
            code = rig.processes[side].poll()
            if code is not None:
                ended[side] = ended.get(side, 0) + 1
                if ended[side] <= 3:
                    record(f"platform: the node beside {side} ended with {code}, end {ended[side]}; started again")
                rig.start("target", side, first=False, service=service)


async def play(rig, record, trouble):
    name = LONG if trouble else SHORT
    for ip in rig.cores:
        rig.start("control", ip)
    for ip in rig.fronts:
        rig.start("balancer", ip)
    services = [name, name, "archive"]
    sides = [rig.ip(60 + i) for i in range(len(services))]
    for side, service in zip(sides, services):
        rig.start("target", side, service=service)
    await asyncio.sleep(1.0)
    for side, service in zip(sides, services):
        rig.start_server(side, service)
    ended = {}
    rig.tasks.append(asyncio.create_task(restart_ended(rig, record, sides, services, ended)))
    await rig.open_clients()
    status, _ = await rig.replace([rig.route("r", LONG_PORT, name), rig.route("s", SHORT_PORT, "archive")],
                                  [name, "archive"])
    record(f"operator: the desired state is answered {status}")
    if status != 200 or not await rig.wait_ready([SHORT_PORT]):
        return None
    await asyncio.sleep(10)
    short = await tries(rig, SHORT_PORT, 10)
    record(f"archive: {short}")
    served = await tries(rig, LONG_PORT, 20)
    record(f"{name}: {served}")
    for side in sides:
        record(f"node beside {side}: ended by itself {ended.get(side, 0)} times; server: {rig.server_lines(side)[:2]}")
    if short.count("200") < 9:
        return None
    return served.count("200") > 0 and not ended


rigs.main(play, beat_ms=1200, window_ms=4000, propagation_ms=3000, drain_ms=3000)
