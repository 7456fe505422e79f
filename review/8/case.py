"""DRAIN: two machines of a zone are cut off from the store for some seconds. When the cut has healed, the one that polls
for the zone hears first that an engine leaves and forwards it to the other. That one drops the news, since its own last
call to the store failed, and its next call brings nothing new: it goes on sending requests to the engine."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import TROUBLE, CannotRun, Engine, Store, config, request, route, run_case  # noqa: E402

LEAVES = 3  # Engines that leave, one after the other.
CUT_S = 5.0
LONGEST_S = 90  # No further cut after this time.
SERVES_ON_S = 5.5  # After the store's acknowledgement that the engine leaves.
PER_S = 40


class CutStore(Store):
    """While the two machines are cut off, nothing of theirs is answered; the engines and the operator write on."""

    cut = False
    find_owner = staticmethod(lambda port: None)  # Returns the front that has the connection from a port.
    on_servers = None  # Called with the front and the longest wait of each answered call for the servers' changes.

    async def handle(self, line, headers, body, reader, writer):
        if self.cut:
            await asyncio.sleep(3600)
        return await super().handle(line, headers, body, reader, writer)

    def reply(self, writer, status, body=None):
        if self.cut:
            return True  # Lost on the way.
        return super().reply(writer, status, body)

    async def feed(self, args, writer):
        # The connection is closed as soon as it is answered.
        front = self.find_owner(writer.get_extra_info("peername")[1]) if args["table"] == "servers" else None
        done = await super().feed(args, writer)
        if front is not None and not self.cut:
            self.on_servers(front, int(args["waitMs"]))
        return done


def owner_of(port, store_port, fronts):
    """Returns the front whose process has the connection from this port."""
    inode = None
    with open("/proc/net/tcp") as f:
        for line in f.readlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port and int(fields[2].split(":")[1], 16) == store_port:
                inode = fields[9]
    for it in fronts:
        folder = f"/proc/{it.process.pid}/fd"
        try:
            names = os.listdir(folder)
        except OSError:
            continue  # The run is over.
        for name in names:
            try:
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return it
            except OSError:
                pass
    return None


async def case(deployment):
    record, bounds = deployment.record, deployment.bounds
    store = deployment.store
    store.server.close()
    deployment.store = store = CutStore()
    await store.open()
    contact_s, drain_s = bounds["contactMs"] / 1000, bounds["drainMs"] / 1000
    # Requests stay in their zone where they can.
    for i in range(4):
        await deployment.add_engine(Engine(record, f"i-core-{i}", "subs-core", deployment.zones[0]))
    await deployment.write_config(config(
        3, [route("order-lookup", "subs-core", "safe")], [{"name": "subs-core", "healthPath": "/health"}],
        [{"name": "studio", "apiKeys": ["key-studio-1"]}]))
    for i in range(2):
        await deployment.add_front(f"front-{i}", deployment.zones[0])
    for it in deployment.fronts:
        await it.wait_ready()
    numbers = iter(range(10**9))
    sent_to = {}

    async def look():
        n = next(numbers)
        attempt = f"{n:016x}"
        front = deployment.fronts[n % 2]
        sent_to[attempt] = front.name
        headers = [("Host", "app.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "1500"),
                   ("Authorization", "Bearer key-studio-1")]
        try:
            status, _, _ = await request(front.host, front.callers, "GET", "/order-lookup/x", headers, timeout=2)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        record.add(f"answer   {attempt} from {front.name} {status or 'none'}")

    async def traffic():
        tasks = []
        while True:
            tasks = [it for it in tasks if not it.done()] + [asyncio.create_task(look())]
            await asyncio.sleep(1 / PER_S)

    clients = asyncio.create_task(traffic())
    healed_at = 0
    poller, answered = None, []  # Who was answered about the servers, in order.

    def on_servers(front, wait_ms):
        nonlocal poller
        answered.append(front)
        if time.monotonic() - healed_at < 3:
            record.add(f"store    answered {front.name} about the servers")
        poller = front if wait_ms > 0 else poller
        arrived.set()

    arrived = asyncio.Event()
    store.on_servers = on_servers
    store.find_owner = lambda port: owner_of(port, store.port, deployment.fronts)
    await asyncio.sleep(3)
    if poller is None:
        raise CannotRun("no front polls the store")
    record.add(f"poller   {poller.name}")
    broken, left, started_at = [], 0, time.monotonic()
    while left < LEAVES and time.monotonic() - started_at < LONGEST_S:
        if TROUBLE:
            record.add("cut      front-0 and front-1 from the store")
            store.cut = True
            await asyncio.sleep(CUT_S)
            store.cut = False
            record.add("healed   the cut")
        healed_at = time.monotonic()
        answered.clear()
        while not answered:
            arrived.clear()
            await arrived.wait()
        if answered[0] is not poller:
            record.add(f"first    {answered[0].name} was answered, no engine leaves this time")
            await asyncio.sleep(3)
            continue
        engine = deployment.engines[left]
        left += 1
        await deployment.announce(engine, "draining")
        leaves_at = time.monotonic()
        record.add(f"leaves   {engine.id}, acknowledged {leaves_at - healed_at:.2f} s after the cut had healed")
        await asyncio.sleep(SERVES_ON_S)
        ended_at = time.monotonic()
        in_touch_from = healed_at + contact_s if TROUBLE else leaves_at
        late = [(at, attempt) for at, attempt, _ in engine.runs
                if max(leaves_at + drain_s, in_touch_from) < at < ended_at]
        record.add(f"late     {len(late)} requests reached {engine.id}")
        broken += [f"{attempt} from {sent_to[attempt]} reached {engine.id} {at - leaves_at:.2f} s after it had said that it "
                   f"leaves, {at - healed_at:.2f} s after the cut" for at, attempt in late]
        # The engine is replaced by a new process under the same id.
        engine.born = int(time.time() * 1000)
        engine.sequence = 0
        await deployment.announce(engine)
        await asyncio.sleep(2.5)
    clients.cancel()
    if left == 0:
        raise CannotRun("the poller was never answered first")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
