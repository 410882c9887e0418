"""An engine leaves; the answer of the engine at which one of its streams goes on is lost."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from standins import (CannotRun, Case, ENGINE, Replica, abort, configuration,  # noqa: E402
                      exchange, now_ms, response, route)

EVENTS = 200
INTERVAL = 0.04
# Reading what the copy lacks and writing the first token of a continuation.
FIRST_TOKEN = 0.1
STREAMS = 40
# How many answers of the other engine are lost: one of the about twenty that go on there.
LOST = 1
# A request may not run at two replicas for longer, in milliseconds.
ALLOWED_MS = 400


class Engine(Replica):
    """
    Runs requests to their end, also without their connection. It grows the backup that a request
    asks for, stops a run for /kv-move with last, and has no room for copies that are moved to it.
    """

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.peers = {}
        self.runs = {}
        self.backups = set()
        self.kept = {}
        self.loses = 0
        self.lock_runs = threading.Lock()
        # (identifier, first event, began, ended), in milliseconds.
        self.worked = []

    def run(self, sock, request):
        if request.path == "/kv-move":
            return self.move(sock, json.loads(request.body))
        if request.path.startswith("/kv-handle/"):
            self.kept.pop(request.path.rsplit("/", 1)[1], None)
            sock.sendall(response(200))
            return True
        identifier = request.header("Request-Id")
        last = int(request.header("Last-Event-Id", "0"))
        source = request.header("Kv-From")
        if source and not self.take_copy(source, identifier):
            self.record.add(f"{self.name}: {identifier} refused as not run, no copy {source}")
            sock.sendall(response(503, [("Request-Id", identifier), ("Not-Executed", "1")]))
            return True
        backup = self.peers.get(request.header("Kv-Backup"))
        if backup:
            backup.backups.add(identifier)
        self.work(sock, identifier, last, source, backup)
        return False

    def take_copy(self, source, identifier):
        address, _, handle = source.rpartition("/")
        if address != self.endpoint:
            return False
        if handle == identifier and identifier in self.backups:
            self.backups.discard(identifier)
            return True
        return self.kept.pop(handle, None) == identifier

    def work(self, sock, identifier, last, source, backup):
        began = now_ms()
        run = {"sent": last, "stopped": False}
        with self.lock_runs:
            self.runs[identifier] = run
        self.record.add(f"{self.name}: works on {identifier} from event {last + 1}"
                        + (f" from the copy {source}" if source else ""))
        time.sleep(FIRST_TOKEN)
        with self.lock_runs:
            is_lost = bool(source) and self.loses > 0
            self.loses -= is_lost
        is_open = True
        if is_lost:
            self.record.add(f"{self.name}: the answer to {identifier} is lost, the run goes on")
            abort(sock)
            is_open = False
        head = ["HTTP/1.1 200 OK", f"Request-Id: {identifier}", f"Replica-Stamp: {self.stamp()}",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        try:
            if is_open:
                sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
            while run["sent"] < EVENTS and not run["stopped"]:
                time.sleep(INTERVAL)
                if run["stopped"]:
                    break
                run["sent"] += 1
                event = f"id: {run['sent']}\ndata: {identifier}\n\n".encode()
                if is_open:
                    try:
                        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                    except OSError:
                        is_open = False
            if is_open and not run["stopped"]:
                sock.sendall(b"0\r\n\r\n")
        except OSError:
            pass
        with self.lock_runs:
            self.runs.pop(identifier, None)
            self.worked.append((identifier, last + 1, began, now_ms()))
        if backup and not run["stopped"]:
            backup.backups.discard(identifier)
        self.record.add(f"{self.name}: {'stopped' if run['stopped'] else 'ended'} {identifier} "
                        f"after event {run['sent']}")

    def move(self, sock, order):
        if not order["last"]:
            sock.sendall(response(503))
            return True
        with self.lock_runs:
            run = self.runs.get(order["id"])
            if run is None:
                sock.sendall(response(404))
                return True
            run["stopped"] = True
            handle = f"h{len(self.kept)}-{order['id']}"
            self.kept[handle] = order["id"]
        self.record.add(f"{self.name}: /kv-move of {order['id']} with last: stopped, kept as {handle}")
        body = json.dumps({"handle": handle, "create-rev": run["sent"]}).encode()
        sock.sendall(response(503, [("Content-Type", "application/json")], body))
        return True


def overlaps(first, second):
    """Returns the requests that two engines worked on at once, with the time in milliseconds."""
    found = {}
    for identifier, _, began, ended in first:
        for other, _, other_began, other_ended in second:
            common = min(ended, other_ended) - max(began, other_began)
            if identifier == other and common > 0:
                found[identifier] = max(common, found.get(identifier, 0))
    return found


def play(case):
    routes = [route("plan", "/plan/", "streaming", "engines", timeout_ms=39000)]
    services = [{"name": "engines", "max-connections": 612,
                 "engine": dict(ENGINE, backups=True)}]
    case.store.put("config", "main", configuration(1, routes, services))
    engines = [Engine(case.record, case.store, f"i-{index}", "engines", slots=24)
               for index in (1, 2)]
    for engine in engines:
        engine.peers = {other.endpoint: other for other in engines if other is not engine}
        engine.register()
    leaving, other = engines
    host = case.host("front-1")
    host.start()
    host.wait_until_ready()
    # The host is in touch.
    time.sleep(4.5)
    results = {}

    def call(index):
        identifier = f"{0xfab000 + index:016x}"
        headers = [("Request-Id", identifier), ("Model", "m"), ("Token-Counts", "100,200"),
                   ("Prompt-Prefix", f"{index:x}:100"), ("Deadline-Ms", "39000")]
        try:
            status, _, body = exchange("127.0.0.1", host.front, "POST /plan/1", headers, b"{}", 40)
            results[identifier] = f"status {status}, {body.count(b'id: ')} events, complete"
        except (EOFError, OSError) as fault:
            results[identifier] = type(fault).__name__
        case.record.add(f"client: {identifier} {results[identifier]}")

    threads = [threading.Thread(target=call, args=(index,)) for index in range(STREAMS)]
    for thread in threads:
        thread.start()
        time.sleep(0.01)
    time.sleep(2.0)
    if len(leaving.runs) < 10:
        raise CannotRun(f"only {len(leaving.runs)} streams began at the engine that leaves")
    other.loses = LOST if case.has_trouble else 0
    leaving.register("draining")
    for thread in threads:
        thread.join(45)
    # Runs without their connection go on.
    time.sleep(EVENTS * INTERVAL / 2)
    found = overlaps(leaving.worked, other.worked)
    twice = {key: value for key, value in found.items() if value > ALLOWED_MS}
    for identifier, common in found.items():
        case.record.add(f"both engines worked on {identifier} for {common} ms")
    text = (f"{len(twice)} of {STREAMS} requests were worked on by two engines at once for more "
            f"than {ALLOWED_MS} ms" + (f" ({max(twice.values())} ms)" if twice else ""))
    return bool(twice), text


Case(__file__).play(play)
