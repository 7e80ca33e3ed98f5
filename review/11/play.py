"""A server is killed and starts again; flows that open in the second after that are reset later, though it holds them."""
import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig3"))
import rig as rigs  # noqa: E402

PORT = 8443


async def one(rig, port, results, wait_s):
    flow = rig.new_flow(port)
    if not await flow.open():
        return
    first = await flow.request("first")
    if first != "200":
        return
    opened = flow.opened
    await asyncio.sleep(wait_s)
    second = await flow.request("second")
    results.append((flow, opened, second))


async def play(rig, record, trouble):
    for ip in rig.cores:
        rig.start("control", ip)
    for ip in rig.fronts:
        rig.start("balancer", ip)
    side = rig.ip(60)
    rig.start("target", side, service="desk")
    await asyncio.sleep(1.0)
    beats = {"first_beat_s": rig.beat_ms / 1000}
    server = rig.start_server(side, "desk", **beats)
    await rig.open_clients()
    status, _ = await rig.replace([rig.route("r", PORT, "desk")], ["desk"])
    record(f"operator: the desired state is answered {status}")
    if status != 200 or not await rig.wait_ready([PORT]):
        return None
    await asyncio.sleep(6)
    if trouble:
        record("server: killed")
        server.send_signal(signal.SIGKILL)
        server.wait()
    results, tasks = [], []
    wait_s = rig.window_ms / 1000 + 3
    for count in range(40):
        if count == 12 and trouble:
            record("server: starts again")
            rig.start_server(side, "desk", slow_s=0.5, slow_start_s=2.0, **beats)
        tasks.append(asyncio.create_task(one(rig, PORT, results, wait_s)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    lines = rig.server_lines(side)
    starts = [i for i, line in enumerate(lines) if line["what"] == "started"]
    held = {line["sport"] for line in lines[starts[-1]:] if line["what"] == "open"}
    for line in lines:
        record(f"server: {line}")
    broken = 0
    for flow, opened, second in results:
        bad = second == "reset" and flow.reset_foreign and flow.sport in held
        broken += bad
        record(f"flow {flow.sport}: opened {opened - flow.first:.3f} s after its first packet; second request: {second}"
               + (f"; reset {flow.reset - opened:.1f} s after it opened, the server holds it" if bad else ""))
    record(f"{len(results)} flows, {broken} reset though their server holds them")
    return None if len(results) < 3 else broken == 0


rigs.main(play, beat_ms=1200, window_ms=5000, propagation_ms=4000)
