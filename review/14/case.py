"""A sound replica is silent for 1.25 s after a SIGHUP of the host; the other replica is full.

With TROUBLE=0 the replica isn't silent.
"""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from fleet import (ROUTE_HOST, Host, Replica, Store, configuration, encode,  # noqa: E402
                   read_chunk, read_head, route, run)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "xd9dnn2ctnfzs989anu6"
STREAMS = 8
EVENTS = 60
EVENT_SECONDS = 0.06
SILENCE = 1.25 if TROUBLE else 0


class Times:
    """When the replica is silent."""

    begin = float("inf")
    end = float("inf")


async def answer(replica, request, _reader, writer):
    """Streams events; the replica sends nothing to anyone while it is silent."""
    request_id = request.get("Request-Id")
    last = int(request.get("Last-Event-Id", "0"))
    await asyncio.sleep(EVENT_SECONDS)
    writer.write(encode("HTTP/1.1 200 OK", [
        ("Request-Id", request_id), ("Replica-Stamp", "stamp-" + replica.name),
        ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
    for number in range(last + 1, EVENTS + 1):
        now = time.monotonic()
        if Times.begin <= now < Times.end:
            await asyncio.sleep(Times.end - now)
        text = ("id: %d\ndata: %s-%d\n\n" % (number, request_id, number)).encode()
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        try:
            await writer.drain()
        except ConnectionError:
            replica.record.write("replica", replica.name, "sends event", number, "of", request_id,
                                 "but its connection is closed")
            raise
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def refuse(replica, request, _reader, writer):
    """Refuses as a replica whose places are all taken."""
    await replica.send(writer, request, 503, b"", [("Not-Executed", "1")])


async def read_stream(record, host, number):
    request_id = "57ea%012x" % number
    last = 0
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*host.front), 1)
        writer.write(encode("POST /grade-check/2f HTTP/1.1", [
            ("Host", ROUTE_HOST), ("Request-Id", request_id), ("Deadline-Ms", "39000"),
            ("Authorization", "Bearer " + KEY), ("Model", "m"),
            ("Token-Counts", "2200,%d" % (4 * EVENTS)),
            ("Prompt-Prefix", "5c1e07a2:210,91bd3f06:140,%s:1850" % request_id),
            ("Content-Length", "2")], b"hi"))
        got = await asyncio.wait_for(read_head(reader), 30)
        if got.status != 200:
            record.write("request", request_id, "is answered", got.status)
            return "refused"
        while True:
            data = await asyncio.wait_for(read_chunk(reader), 30)
            if not data:
                break
            last += data.count(b"\n\n")
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        record.write("LOST: the connection of request", request_id, "ends after event", last, "of",
                     EVENTS)
        return "cut"
    return "whole" if last == EVENTS else "short"


async def case(record, folder, hosts):
    store = Store(record)
    await store.start()
    await store.put("config", "main", configuration(
        7, [route("grade-check", "streaming", "tagwriter", timeout=39000, resumable=True,
                  **{"gap-aim-ms": 120})],
        [{"name": "tagwriter", "health-path": "/health", "max-connections": 232,
          "engine": {"slots": 24, "kv-capacity-tokens": 34161, "stride": 4}}],
        {"huka270": [KEY]}))
    sound = Replica(record, store, "i-tag-1", "tagwriter", answer)
    full = Replica(record, store, "i-tag-2", "tagwriter", refuse)
    await sound.start()
    await full.start()
    host = Host(record, store, 1, folder)
    hosts.append(host)
    await host.start()
    await host.wait_ready()
    await asyncio.sleep(3.5)
    host.signal(signal.SIGHUP)
    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.ensure_future(read_stream(record, host, number)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    Times.begin = time.monotonic()
    Times.end = Times.begin + SILENCE
    if TROUBLE:
        record.write("replica", sound.name, "is silent for", SILENCE, "s")
    results = await asyncio.gather(*tasks)
    counts = {name: results.count(name) for name in ("whole", "short", "cut", "refused")}
    record.write("streams:", counts)
    if counts["refused"] > STREAMS // 2:
        raise RuntimeError("too few streams")
    return 1 if counts["cut"] else 0


run(case, FOLDER)
