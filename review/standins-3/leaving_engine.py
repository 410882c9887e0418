"""A model replica as a process of its own, whose streams end with their connection.

Usage: leaving_engine.py NAME EVENTS. Prints its port and when it was started, then the calls to move a
run. On SIGTERM it ends as a process in order: it closes its streams, waits for EXIT_SECONDS, as for a
last write to the store, and exits.
"""
import asyncio
import json
import os
import signal
import sys
import time

from fleet import encode, read_body, read_head

EVENT_SECONDS = 0.1
EXIT_SECONDS = 0.1
BORN = int(time.time() * 1000)
# The connections of the running streams, by request.
STREAMS = {}


async def stream(name, events, request, writer):
    request_id = request.get("Request-Id", "")
    await asyncio.sleep(EVENT_SECONDS)
    writer.write(encode("HTTP/1.1 200 OK", [
        ("Request-Id", request_id), ("Replica-Stamp", "stamp-" + name),
        ("Content-Type", "text/event-stream"), ("Connection", "close")]))
    STREAMS[request_id] = writer
    for number in range(1, events + 1):
        writer.write(("id: %d\ndata: %s-%d\n\n" % (number, request_id, number)).encode())
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    STREAMS.pop(request_id, None)


async def move(request, writer):
    """Answers that there is no room; an order with last stops the run, whose memory is kept."""
    order = json.loads(request.body)
    print("asked to move", order["id"], "last", order["last"], flush=True)
    stopped = STREAMS.pop(order["id"], None) if order["last"] else None
    if stopped:
        stopped.close()
    known = stopped or order["id"] in STREAMS
    body = json.dumps({"handle": "h-" + order["id"]} if stopped else {}).encode()
    writer.write(encode("HTTP/1.1 %d X" % (503 if known else 404),
                        [("Content-Length", str(len(body)))], body))


async def serve(name, events, reader, writer):
    try:
        while True:
            request = await read_head(reader)
            await read_body(request, reader)
            if request.target == "/report":
                body = json.dumps({"stage": "combined", "models": [], "busy": False, "call-seq": 0,
                                   "waiting": 0, "running": len(STREAMS), "kv-used": 0,
                                   "kv-total": 34161, "handles": 0, "born": BORN}).encode()
                writer.write(encode("HTTP/1.1 200 OK", [("Content-Length", str(len(body)))], body))
            elif request.target == "/kv-move":
                await move(request, writer)
            elif request.get("Expect-Replica") not in (None, name):
                writer.write(encode("HTTP/1.1 421 X", [
                    ("Request-Id", request.get("Request-Id", "")), ("Not-Executed", "1"),
                    ("Content-Length", "0")]))
            else:
                await stream(name, events, request, writer)
                return
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def leave():
    for writer in list(STREAMS.values()):
        writer.close()
    await asyncio.sleep(EXIT_SECONDS)
    os._exit(0)


async def main():
    name, events = sys.argv[1], int(sys.argv[2])
    server = await asyncio.start_server(lambda r, w: serve(name, events, r, w), "127.0.0.1", 0)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, lambda: asyncio.ensure_future(leave()))
    print(server.sockets[0].getsockname()[1], BORN, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
