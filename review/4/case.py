"""A rolling restart of the hosts makes them forget which software version began the streams."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from yard import CannotRun, play, route, service  # noqa: E402

HOSTS = 3
STREAMS = 16
NEW_STREAMS = 16
EVENTS = 340
GRACE_S = 8
GAP_S = 1.3
STABILITY_S = 3
LEAST_TAKEN_UP = 12


async def restart(yard, host):
    """Stops and starts a host as the platform does: SIGTERM, SIGKILL after the grace."""
    host.signal(signal.SIGTERM)
    for _ in range(GRACE_S * 50):
        if not host.is_running():
            break
        await asyncio.sleep(0.02)
    else:
        host.kill()
    yard.record.write(f"host {host.name} ended with {host.process.returncode}")
    host.start()
    await yard.until_ready([host])


def stream_headers(more=()):
    return [("Model", "m"), ("Token-Counts", "200,400"), ("Events", str(EVENTS))] + list(more)


async def case(yard, trouble):
    await yard.start_store()
    yard.configure(7, [route("check", "streaming", "model", 39000, resumable=True, sticky=True,
                             **{"gap-aim-ms": 180})], [service("model", slots=24)])
    # Two software versions serve side by side, two servers each.
    for name, version in (("i-one", "v1"), ("i-two", "v2"), ("i-three", "v1"), ("i-four", "v2")):
        await yard.add_server("model", name, version=version, slots=24)
    await yard.add_hosts(HOSTS, zones=("a", "b", "c"))
    await asyncio.sleep(2)

    last = yard.hosts[-1]
    streams = [asyncio.ensure_future(yard.call(last, "/check/x", stream_headers(),
                                               body=b"prompt %d" % n, deadline=38.0))
               for n in range(STREAMS)]
    await asyncio.sleep(1)
    # The whole rolling restart is the planned work; without it only the last host is restarted.
    for host in yard.hosts[:-1] if trouble else []:
        await restart(yard, host)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(STABILITY_S)
    stop = asyncio.ensure_future(restart(yard, last))

    async def take_up(stream, number):
        """Takes a cut stream up again at another host, as a caller does after a short pause."""
        first = await stream
        if first.complete or not first.events:
            return None
        await asyncio.sleep(0.3)
        return await yard.call(yard.hosts[number % (HOSTS - 1)], "/check/x",
                               stream_headers([("Last-Event-Id", str(first.events[-1][0])),
                                               ("Resumes", first.id)]),
                               body=b"prompt %d" % number, deadline=20.0)

    taken_up = [r for r in await asyncio.gather(*(take_up(s, n) for n, s in enumerate(streams)))
                if r is not None]
    new = await asyncio.gather(*(
        yard.call(yard.hosts[n % (HOSTS - 1)], "/check/x",
                  [("Model", "m"), ("Token-Counts", "200,10"), ("Events", "5")],
                  body=b"new prompt %d" % n) for n in range(NEW_STREAMS)))
    await stop
    if len(taken_up) < LEAST_TAKEN_UP:
        raise CannotRun(f"only {len(taken_up)} streams were taken up")
    going_on = sum(1 for r in taken_up if r.events) / len(taken_up)
    begun = sum(1 for r in new if r.events) / len(new)
    text = (f"{going_on:.2f} of {len(taken_up)} streams that were taken up go on, "
            f"{begun:.2f} of {len(new)} new ones begin")
    yard.record.write(text)
    return [text] if going_on < begun / 2 else []


play(case, __file__)
