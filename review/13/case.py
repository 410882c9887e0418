"""All hosts are killed at once while replicas of two software versions serve; clients then take up
their streams again.

With TROUBLE=0 the hosts run on, and the clients lose their connections by a reset at the same time.
"""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from engine import Engine  # noqa: E402
from fleet import (ROUTE_HOST, Host, Store, configuration, encode, read_body,  # noqa: E402
                   read_chunk, read_head, route, run)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "xd9dnn2ctnfzs989anu6"
STREAMS = 24
EVENTS = 150
DEADLINE = 39
# The platform starts a killed process again after a short delay.
RESTART_DELAY = 0.5
# stability-window-ms is 3,000: from then on the hosts are in touch.
IN_TOUCH = 3.5


def fields(request_id, left, more=()):
    return [("Host", ROUTE_HOST), ("Request-Id", request_id), ("Deadline-Ms", str(int(left * 1000))),
            ("Authorization", "Bearer " + KEY), ("Model", "m"),
            ("Token-Counts", "3079,%d" % (4 * EVENTS)), ("Events", str(EVENTS)),
            ("Prompt-Prefix", "5c1e07a2:47,91bd3f06:32,%s:3000" % request_id),
            ("Content-Length", "2")] + list(more)


class Stream:
    """A client's stream: what has arrived, over all of its attempts."""

    def __init__(self, record, number):
        self.record = record
        self.id = "57ea%012x" % number
        self.begun = time.monotonic()
        self.last = 0
        self.status = None
        self.writer = None
        self.is_broken = False

    async def attempt(self, host, request_id, more=()):
        """Sends an attempt and reads events. @return the status, or none without an answer."""
        status = None
        try:
            reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*host.front), 1)
            left = DEADLINE - (time.monotonic() - self.begun)
            self.writer.write(encode("POST /grade-check/2f HTTP/1.1",
                                     fields(request_id, left, more), b"hi"))
            answer = await asyncio.wait_for(read_head(reader), left)
            status = self.status = answer.status
            if status != 200:
                await read_body(answer, reader, True)
                self.record.write("client: request", request_id, "is answered", status,
                                  answer.body, "Retry-After", answer.get("Retry-After"))
                return status
            text = b""
            while self.last < EVENTS:
                data = await read_chunk(reader)
                if not data:
                    break
                text += data
                while b"\n\n" in text:
                    event, text = text.split(b"\n\n", 1)
                    self.last = int(event.split(b"\n")[0][4:])
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.is_broken = True
        return status


async def case(record, folder, hosts):
    store = Store(record)
    await store.start()
    await store.put("config", "main", configuration(
        7, [route("grade-check", "streaming", "tagwriter", timeout=39000, resumable=True,
                  sticky=True)],
        [{"name": "tagwriter", "health-path": "/health", "max-connections": 232,
          "engine": {"slots": 24, "kv-capacity-tokens": 34161, "stride": 4, "backups": True,
                     "moves": True, "handle-s": 8}}], {"huka270": [KEY]}))
    engines = [Engine(record, store, "i-tag%d" % number, "tagwriter", interval=0.1,
                      version="v1" if number < 3 else "v2") for number in range(6)]
    for engine in engines:
        await engine.start()
    for number in (1, 2, 3):
        host = Host(record, store, number, folder)
        hosts.append(host)
        await host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(IN_TOUCH)

    streams = []
    tasks = []
    for number in range(STREAMS):
        stream = Stream(record, number)
        streams.append(stream)
        tasks.append(asyncio.ensure_future(stream.attempt(hosts[number % 3], stream.id)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    begun = [stream for stream in streams if stream.status == 200 and stream.last > 0]
    record.write(len(begun), "of", STREAMS, "streams have begun")

    if TROUBLE:
        for host in hosts:
            host.signal(signal.SIGKILL)
        for host in hosts:
            await host.process.wait()
        await asyncio.sleep(RESTART_DELAY)
        for host in hosts:
            await host.start()
    else:
        record.write("the clients' connections are reset")
        for stream in streams:
            stream.writer.transport.abort()
    for task in tasks:
        if not TROUBLE:
            task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for host in hosts:
        await host.wait_ready()
    record.write("all hosts are ready")
    await asyncio.sleep(IN_TOUCH)

    resumed = [stream for stream in begun if 0 < stream.last < EVENTS]
    before = {stream.id: stream.last for stream in resumed}
    tasks = []
    for number, stream in enumerate(resumed):
        record.write("client: takes up stream", stream.id, "after event", stream.last)
        tasks.append(asyncio.ensure_future(stream.attempt(
            hosts[(number + 1) % 3], stream.id[:-2] + "aa%02x" % number,
            [("Last-Event-Id", str(stream.last)), ("Resumes", stream.id)])))
    fresh = [Stream(record, 1000 + number) for number in range(STREAMS)]
    for number, stream in enumerate(fresh):
        tasks.append(asyncio.ensure_future(stream.attempt(hosts[number % 3], stream.id)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(3)
    going_on = sum(stream.last > before[stream.id] for stream in resumed)
    beginning = sum(stream.last > 0 for stream in fresh)
    for task in tasks:
        task.cancel()
    serving = {version: sum(engine.version == version for engine in engines)
               for version in ("v1", "v2")}
    record.write(going_on, "of", len(resumed), "streams that were taken up go on;", beginning, "of",
                 len(fresh), "new streams begin; replicas that serve:", serving)
    if len(resumed) < 12 or beginning < 12:
        raise RuntimeError("too few streams")
    is_broken = going_on / len(resumed) < 0.5 * beginning / len(fresh)
    if is_broken:
        record.write("LOST: the share that goes on is under half of the share that begins")
    return 1 if is_broken else 0


run(case, FOLDER)
