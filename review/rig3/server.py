"""A stand-in server beside a target daemon: flows over datagrams, a health page over TCP, heartbeats over HTTP."""
import asyncio
import json
import random
import signal
import sys
import time

from rig import ACK, FIN, RETURNED, RST, SYN, Datagrams, http, pack, unpack, word

ORDER = json.loads(sys.argv[1])
BORN = time.time_ns() // 1_000_000
STARTED = time.monotonic()
SLOW = {"until": STARTED + ORDER.get("slow_start_s", 0)}  # until then it answers openings late
FLOWS = {}


def say(what, **more):
    print(json.dumps({"t": round(time.monotonic(), 3), "what": what, **more}), flush=True)


class Server:
    def on_packet(self, raw, addr):
        packet = unpack(raw)
        key = (packet["src"], packet["sport"], packet["dst"], packet["dport"])
        flow = FLOWS.get(key)
        flags = packet["flags"]
        if flags & SYN:
            if flow is None:
                flow = FLOWS[key] = {"isn": random.getrandbits(31), "next": (packet["seq"] + 1) & 0xFFFFFFFF,
                                     "open": False, "sent": 0, "answers": {}}
                asyncio.create_task(self.shake(key, flow))
            return
        if flow is None:
            back = bytearray(raw)
            back[30] |= RETURNED
            self.out(bytes(back))
            return
        if flags & RST:
            FLOWS.pop(key)
            return
        if not flow["open"] and flags & ACK and packet["ack"] == (flow["isn"] + 1) & 0xFFFFFFFF:
            flow["open"] = True
            say("open", sport=key[1])
        if flow["open"] and packet["data"]:
            self.data(key, flow, packet)
        if flags & FIN:
            FLOWS.pop(key)

    async def shake(self, key, flow):
        slow = time.monotonic() < SLOW["until"]
        await asyncio.sleep(ORDER.get("slow_s", 0) if slow else 0.0005)
        pause = 0.2
        for _ in range(9):
            if flow["open"] or FLOWS.get(key) is not flow:
                return
            self.reply(key, SYN | ACK, flow["isn"], flow["next"])
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.6)
        FLOWS.pop(key, None)

    def data(self, key, flow, packet):
        begin, size = packet["seq"], len(packet["data"])
        if begin == flow["next"]:
            flow["next"] = (begin + size) & 0xFFFFFFFF
            asyncio.create_task(self.work(key, flow, begin, packet["data"]))
        elif begin in flow["answers"]:
            answer = flow["answers"][begin]
            self.reply(key, ACK, answer[0], flow["next"], answer[1])
        else:
            self.reply(key, ACK, flow["isn"] + 1 + flow["sent"], flow["next"])

    async def work(self, key, flow, begin, data):
        request = data.decode(errors="replace").split("X-Request-Id: ")[-1].split("\r\n")[0]
        say("run", request=request, sport=key[1])
        await asyncio.sleep(0.03)
        body = b"ok " + request.encode()
        answer = (b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: %d\r\n\r\n" % len(body)) + body
        seq = flow["isn"] + 1 + flow["sent"]
        flow["sent"] += len(answer)
        flow["answers"][begin] = (seq, answer)
        self.reply(key, ACK, seq, flow["next"], answer)

    def reply(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        self.out(pack(dst, dport, src, sport, flags, seq, ack, data))

    def out(self, raw):
        self.transport.sendto(raw, (ORDER["ip"], ORDER["out"]))


async def health(reader, writer):
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
        await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def beats():
    await asyncio.sleep(ORDER.get("first_beat_s", 0))
    sequence = 0
    while True:
        sequence += 1
        body = {"service": ORDER["service"], "address": f"{ORDER['ip']}:{ORDER['app']}", "zone": ORDER["zone"],
                "version": "v1", word("maxConc"): ORDER["slots"], "state": "ready", word("coldRem"): 0,
                "seq": sequence, "born": BORN}
        path = f"{word('/inst')}{ORDER['id']}/heartbeat"
        begun = time.monotonic()
        status = (await http((ORDER["ip"], ORDER["control"]), "POST", path, json.dumps(body).encode()))[0]
        if sequence == 1 or status != 200:
            say("heartbeat", sequence=sequence, status=status, state="ready")
        await asyncio.sleep(max(0.0, ORDER["beat_s"] - (time.monotonic() - begun)))


async def main():
    server = Server()
    loop = asyncio.get_running_loop()
    server.transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(server.on_packet),
                                                              local_addr=(ORDER["ip"], ORDER["app"]))
    loop.add_signal_handler(signal.SIGUSR1,
                            lambda: SLOW.update(until=time.monotonic() + ORDER.get("slow_for_s", 0)))
    await asyncio.start_server(health, ORDER["ip"], ORDER["app"])
    say("started", born=BORN)
    await beats()


asyncio.run(main())
