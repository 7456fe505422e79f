"""The engines of a service crash, one after the other, and are back after 2.5 s; its only route is `unsafe`."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
sys.dont_write_bytecode = True
from harness import TROUBLE, CannotRun, Engine, Front, call, free_address, run

ENGINES = 4
DOWN_S = 2.5
PAUSE_S = 2.5
CALM_S = 10  # From the last crash's end to the requests that are counted; `contactMs` is 3,000.
COUNTED_S = 20


class Clients:
    """Sends requests on both routes, each on a connection of its own, about 30 a second."""

    def __init__(self, world, front):
        self.world, self.front = world, front
        self.results = []  # (time, route, status)

    async def send(self, method, path):
        attempt = self.world.attempt_id()
        headers = [("Host", "desk.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "1500"),
                   ("Authorization", "Bearer key-1")]
        sent_at = time.monotonic()
        try:
            status, *_ = await asyncio.wait_for(
                call(self.front.address, self.front.port, method, path, headers, b"" if method == "GET" else b"net"), 3)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            status = repr(error)
        self.world.record("client", attempt=attempt, path=path, status=status)
        self.results.append((sent_at, path, status))

    async def send_all(self):
        tasks = set()
        while True:
            for method, path in (("GET", "/look/x"), ("POST", "/book/x")):
                tasks.add(asyncio.create_task(self.send(method, path)))
            tasks = {it for it in tasks if not it.done()}
            await asyncio.sleep(0.07)

    def served(self, path, since):
        found = [status for at, it, status in self.results if it == path and at >= since]
        return sum(status == 200 for status in found), len(found)


async def main(world):
    route = {"host": "desk.example", "timeoutMs": 1500, "goalMs": 500, "priority": 0, "public": False}
    look = {**route, "name": "look", "prefix": "/look/", "kind": "safe", "service": "catalogue", "maxAttempts": 2}
    book = {**route, "name": "book", "prefix": "/book/", "kind": "unsafe", "service": "desk", "maxAttempts": 1}
    services = [{"name": it, "healthPath": "/health", "maxConnections": 110} for it in ("catalogue", "desk")]
    tenants = [{"name": "t1", "apiKeys": ["key-1"]}]
    await world.store.put("op", "config", world.config(1, [look], services, tenants))
    catalogue = [Engine(world, f"i-catalogue-{n}", "catalogue") for n in range(2)]
    desk = [Engine(world, f"i-desk-{n}", "desk") for n in range(ENGINES)]
    for it in catalogue + desk:
        await it.start("busy")
    front = Front(world, "front-a-1", free_address())
    front.write_settings()
    await front.start()
    await front.wait_until_ready()
    await world.store.put("op", "config", world.config(2, [look, book], services, tenants))
    await asyncio.sleep(3)
    clients = Clients(world, front)
    sending = asyncio.create_task(clients.send_all())
    since = time.monotonic()
    await asyncio.sleep(4)
    before = clients.served("/book/x", since)
    if before[0] < 0.9 * before[1] or before[1] < 20:
        raise CannotRun("requests on the added route are not served before the disruption")
    for it in desk:
        if TROUBLE:
            await it.crash()
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            await it.restart("busy")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(CALM_S)
    since = time.monotonic()
    await asyncio.sleep(COUNTED_S)
    sending.cancel()
    added, first = clients.served("/book/x", since), clients.served("/look/x", since)
    world.record("test", added_route=f"{added[0]} of {added[1]} served", first_route=f"{first[0]} of {first[1]} served")
    direct = [await call("127.0.0.1", it.port, "POST", "/book/x", [("Host", "d"), ("Attempt-Id", "direct")], b"net")
              for it in desk]
    world.record("test", engines_answer_directly=[it[0] for it in direct])
    if any(it[0] != 200 for it in direct):
        raise CannotRun("an engine is not sound at the end")
    if added[1] >= 20 and first[0] > 0 and added[0] / added[1] < first[0] / first[1] / 4:
        return [f"the route that was added later is served {added[0]} of {added[1]} times, the first one {first[0]} of "
                f"{first[1]} times, {CALM_S} to {CALM_S + COUNTED_S} s after the last crash has ended"]
    return []


run(main)
