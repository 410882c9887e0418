"""A stand-in for a model replica whose runs can be moved and backed up."""
import asyncio
import json
import random

from fleet import Replica, encode, read_body, read_head

ENGINES = {}


class Run:
    def __init__(self, request_id, total, made, prompt):
        self.id = request_id
        self.total = total
        self.made = made
        self.prompt = prompt
        self.is_stopped = False
        self.is_moving = False
        # How many orders to stop it were refused because a copy was under way.
        self.refused_stops = 0
        self.writer = None


class Copy:
    def __init__(self, request_id, made):
        self.id = request_id
        self.made = made


class Engine(Replica):
    """Runs streams; options: framing ('chunks' or 'close'), interval and copy_time in seconds."""

    def __init__(self, record, store, name, service, interval=0.05, copy_time=0.2, framing="chunks",
                 **more):
        super().__init__(record, store, name, service, None, **more)
        self.interval = interval
        self.copy_time = copy_time
        self.framing = framing
        self.runs = {}
        self.backups = {}
        self.handles = {}
        self.next_handle = 1
        self.writers = set()
        self.spans = []
        self.keeps_runs = False

    async def start(self, address="127.0.0.1"):
        await super().start(address)
        ENGINES[self.address] = self

    async def crash(self):
        """Ends the process; its memory and its connections go with it."""
        self.server.close()
        for run in list(self.runs.values()):
            run.is_stopped = True
        for writer in list(self.writers):
            # The kernel closes the connections of a killed process that has read all its bytes.
            writer.close()
        self.runs.clear()
        self.backups.clear()
        self.handles.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(request, reader)
                path = request.target
                if path == "/report":
                    await self.send(writer, request, 200, json.dumps({
                        "stage": "combined", "models": [], "busy": False, "call-seq": 0,
                        "waiting": 0, "running": len(self.runs), "kv-used": 0, "kv-total": 34000,
                        "handles": len(self.handles), "born": self.born}).encode())
                elif path == "/kv-move":
                    await self.move(request, writer)
                elif path.startswith("/kv-handle/"):
                    self.handles.pop(path.split("/")[-1], None)
                    await self.send(writer, request, 200, b"{}")
                elif request.get("Expect-Replica") not in (None, self.name):
                    await self.send(writer, request, 421, b"", [("Not-Executed", "1")])
                else:
                    self.received.append(request)
                    self.record.write("engine", self.name, "got", request.first, "id",
                                      request.get("Request-Id"), "after",
                                      request.get("Last-Event-Id"), "from", request.get("Kv-From"),
                                      "backup", request.get("Kv-Backup"))
                    if not await self.run(request, reader, writer):
                        return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def take_source(self, request):
        """Returns whether the memory that a request names is here."""
        source = request.get("Kv-From")
        if source is None:
            return True
        address, name = source.rsplit("/", 1)
        request_id = request.get("Request-Id")
        if address == self.address and name in self.backups:
            return self.backups.pop(name).id == request_id
        known = self.handles.get(source)
        if known and known.id == request_id:
            del self.handles[source]
            return True
        return False

    async def run(self, request, reader, writer):
        request_id = request.get("Request-Id")
        if not self.take_source(request):
            await self.send(writer, request, 503, b"", [("Not-Executed", "1")])
            return True
        total = int(request.get("Events", "20"))
        after = int(request.get("Last-Event-Id", "0"))
        run = Run(request_id, total, after, request.get("Prompt-Prefix"))
        self.runs[request_id] = run
        run.writer = writer
        backup = ENGINES.get(request.get("Kv-Backup") or "")
        loop = asyncio.get_event_loop()
        span = [request_id, self.name, loop.time(), None, after]
        self.spans.append(span)
        await asyncio.sleep(self.interval)
        fields = [("Request-Id", request_id), ("Replica-Stamp", "stamp-" + self.name),
                  ("Content-Type", "text/event-stream")]
        if self.framing == "chunks":
            fields.append(("Transfer-Encoding", "chunked"))
        else:
            fields.append(("Connection", "close"))
        is_open = not run.is_stopped
        gone = asyncio.ensure_future(reader.read(1)) if not self.keeps_runs else None
        if is_open:
            writer.write(encode("HTTP/1.1 200 OK", fields))
        backed_up = loop.time()
        while run.made < run.total and not run.is_stopped:
            run.made += 1
            text = ("id: %d\ndata: %s-%d\n\n" % (run.made, request_id, run.made)).encode()
            if is_open:
                try:
                    writer.write(text if self.framing == "close"
                                 else b"%x\r\n%s\r\n" % (len(text), text))
                    await writer.drain()
                except (ConnectionError, OSError):
                    is_open = False
            if gone and gone.done():
                break
            if backup and loop.time() - backed_up > 0.3:
                backed_up = loop.time()
                backup.backups[request_id] = Copy(request_id, run.made)
            await asyncio.sleep(self.interval * random.uniform(0.5, 1.5))
        span[3] = loop.time()
        if self.runs.get(request_id) is run:
            del self.runs[request_id]
        is_complete = run.made >= run.total and not run.is_stopped
        if gone:
            gone.cancel()
            gone.add_done_callback(lambda done: done.cancelled() or done.exception())
        if is_complete and backup:
            backup.backups.pop(request_id, None)
        if is_complete and is_open and self.framing == "chunks":
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return False

    async def move(self, request, writer):
        order = json.loads(request.body)
        run = self.runs.get(order["id"])
        self.record.write("engine", self.name, "asked to move", order["id"], "to", order["target"],
                          "last", order["last"], "known", run is not None)
        if run is None:
            await self.send(writer, request, 404, b"{}")
            return
        if run.is_moving:
            run.refused_stops += order["last"]
            await self.send(writer, request, 409, b"{}")
            return
        run.is_moving = True
        if order["last"]:
            run.is_stopped = True
            if run.writer:
                run.writer.close()
            self.runs.pop(order["id"], None)
        await asyncio.sleep(self.copy_time * random.uniform(0.5, 1.5))
        run.is_moving = False
        handle = "h%d" % self.next_handle
        self.next_handle += 1
        copy = Copy(order["id"], run.made)
        target = ENGINES.get(order["target"])
        name = self.address + "/" + handle
        if target:
            target.handles[name] = copy
        if order["last"]:
            self.handles[name] = copy
        status = 200 if target else 503
        await self.send(writer, request, status,
                        json.dumps({"handle": handle, "create-rev": run.made}).encode())
