"""A run goes on at a second engine while the first one, which was silent for a moment, works on."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from yard import CannotRun, Server, play, route, service, status_line  # noqa: E402

STREAMS = 4
EVENTS = 70
EVENT_S = 0.1
SILENT_AT = 20
SILENCE_S = 1.25
OVERLAP_S = 0.4


class Engine(Server):
    """Runs streams to their end, also after their connection was closed, and backs them up."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.copies = {}
        self.is_silenced = False

    async def handle(self, request, reader, writer):
        source = request.get("Kv-From")
        if source is None:
            return await super().handle(request, reader, writer)
        request_id = request.get("Request-Id")
        if source != f"{self.address}/{request_id}" or self.copies.pop(request_id, None) is None:
            return await self.send(writer, 503, [("Request-Id", request_id),
                                                 ("Not-Executed", "1")])
        return await self.run(request, [("Request-Id", request_id)], reader, writer)

    async def run(self, request, echo, reader, writer):
        request_id = request.get("Request-Id")
        last = int(request.get("Last-Event-Id") or 0)
        backup = next((s for s in self.yard.servers
                       if s.address == request.get("Kv-Backup")), None)
        await asyncio.sleep(EVENT_S)
        run = {"id": request_id, "server": self, "began": self.yard.record.now(), "ended": None}
        self.runs.append(run)
        self.yard.record.write(f"engine {self.name} works on {request_id} from event {last}, "
                               f"copy {request.get('Kv-From')}, backup {request.get('Kv-Backup')}")
        head = status_line(200) + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in echo)
        writer.write((head + f"Replica-Stamp: {self.name}\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        was_open = True
        for number in range(last + 1, int(request.get("Events")) + 1):
            if number == SILENT_AT and self.is_silenced:
                self.yard.record.write(f"engine {self.name} is silent on {request_id}")
                await asyncio.sleep(SILENCE_S)
                self.yard.record.write(f"engine {self.name} goes on with {request_id}")
            if not writer.transport.is_closing() and not reader.at_eof():
                text = f"id: {number}\ndata: {request_id}\n\n".encode()
                writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            elif was_open:
                was_open = False
                self.yard.record.write(f"engine {self.name} works on {request_id} without its "
                                       "connection")
            if backup is not None and number % 3 == 0:
                backup.copies[request_id] = number
            await asyncio.sleep(EVENT_S)
        run["ended"] = self.yard.record.now()
        self.yard.record.write(f"engine {self.name} ends {request_id}")
        if backup is not None:
            backup.copies.pop(request_id, None)
        if not was_open:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def play_streams(yard, engines, trouble_at):
    """Runs some streams with a disruption; returns what broke the rule."""
    streams = [asyncio.ensure_future(
        yard.call(yard.hosts[0], "/write/x", [("Model", "m"), ("Token-Counts", f"500,{EVENTS}"),
                                              ("Events", str(EVENTS)),
                                              ("Prompt-Prefix", f"aa:10,{n:x}:490")],
                  body=b"prompt %d" % n, deadline=30.0)) for n in range(STREAMS)]
    await asyncio.sleep(EVENT_S * SILENT_AT)
    trouble_at()
    results = await asyncio.gather(*streams)
    await asyncio.sleep(3)
    if not any(r.events for r in results):
        raise CannotRun("no stream began")
    faults = []
    for result in results:
        runs = [r for engine in engines for r in engine.runs if r["id"] == result.id]
        runs.sort(key=lambda r: r["began"])
        for before, after in zip(runs, runs[1:]):
            overlap = (before["ended"] or yard.record.now()) - after["began"]
            if overlap > OVERLAP_S:
                faults.append(f"request {result.id} goes on at {after['server'].name} while "
                              f"{before['server'].name} works on it for {overlap:.1f} s more")
    for fault in faults:
        yard.record.write(fault)
    return faults


async def case(yard, trouble):
    await yard.start_store()
    yard.configure(7, [route("write", "streaming", "model", 39000, sticky=True, resumable=False,
                             **{"gap-aim-ms": 120, "max-attempts": 1})],
                   [service("model", moves=True, backups=True, slots=24)])
    engines = [Engine(yard, "model", name, "a", yard.free_ports(1), slots=24)
               for name in ("i-one", "i-two")]
    yard.servers.extend(engines)
    for engine in engines:
        await engine.start()
    await yard.add_hosts(1)
    await asyncio.sleep(2)
    # First, a server falls silent for a moment at the twentieth event of its streams.
    engines[0].is_silenced = trouble
    faults = await play_streams(yard, engines, lambda: None)
    # Then, without any disruption, a server drains as planned.
    engines[0].is_silenced = False
    faults += await play_streams(yard, engines, engines[0].drain if trouble else lambda: None)
    return faults


play(case, __file__)
