"""Case 15: a part of a prompt, named by an id of 128 bits, crashes each engine that begins to write an answer on it."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from standins import (BOUNDS, TROUBLE, Deployment, Engine, make_config, make_route, run_case, send)

CONTACT_S = BOUNDS["contactMs"] / 1000
BASE_S, TROUBLE_S = 12, 40  # Without and with requests that hold the part.
SOUND_PER_S, BAD_PER_S = 2, 4
DOWN_S = 4  # "the engine is back after some seconds"
PART = "9c41d07be2a35f689c41d07be2a35f68"  # "with the ID in hexadecimal"
MAX_REACHED = 3  # BUDGET
MIN_COUNT = 20  # LOST


class Model(Engine):
    """A model engine that sends the head of an answer on the part and crashes before its first event."""

    async def run_request(self, attempt, headers, body, reader, writer):
        await asyncio.sleep(0.1)
        if f"{PART}:" not in headers.get("prompt-prefix", ""):
            return await self.stream(attempt, headers, writer, 8, 0.05)
        await self.begin_stream(attempt, writer)
        await asyncio.sleep(0.01)
        asyncio.create_task(self.crash_on(attempt))
        await asyncio.sleep(1)
        return None

    async def crash_on(self, attempt):
        at = time.monotonic()
        if await self.crash(DOWN_S):
            crashes.append(at)
            self.record.write("crash_on_part", engine=self.id, attempt=attempt)


crashes = []


async def main(folder):
    d = Deployment(folder)
    try:
        config = make_config(
            1, [make_route("plan", "streaming", "model", resumable=True, sessionAffinity=True)],
            [{"name": "model", "healthPath": "/health", "engine": {"slots": 16, "kvCapacity": 100000}}])
        engines = [Model(d.store, d.record, f"i-{k}", "model") for k in range(6)]
        await d.start(config, engines, 3)
        sound, tasks, n = [], [], 0  # (sent at, answer)

        async def ask(name, prompt):
            at = time.monotonic()
            answer = await send(d.fronts[n % 3], "/plan/x", name, d.record, headers=[
                ("Model", "m"), ("Token-Usage", "900,80"), ("Prompt-Prefix", prompt)])
            if name.startswith("sound"):
                sound.append((at, answer))

        start = time.monotonic()
        while (now := time.monotonic() - start) < BASE_S + TROUBLE_S:
            n += 1
            # The first part is shared by all requests, the last one is a request's own.
            if n % (BAD_PER_S // SOUND_PER_S) == 0:
                tasks.append(asyncio.create_task(ask(f"sound-{n}", f"a1:500,{n + 0x1000:x}:400")))
            if TROUBLE and now > BASE_S:
                tasks.append(asyncio.create_task(ask(f"bad-{n}", f"a1:300,{PART}:200,{n + 0x90000:x}:400")))
            await asyncio.sleep(1 / BAD_PER_S)
        await asyncio.gather(*tasks)
        return judge(d, engines, sound, start)
    finally:
        await d.stop()


def judge(d, engines, sound, start):
    print(f"crashes of engines on the part: {len(crashes)}")
    ended = sum(1 for _, a in sound if a.status == 200 and not a.complete)
    print(f"sound streams that broke off: {ended} of {len(sound)}; "
          f"not begun: {sum(1 for _, a in sound if a.begun_at is None)}")
    if len(crashes) < 5:
        return True
    fifth = crashes[4]
    late = [attempt for e in engines for at, attempt, _ in e.arrivals
            if attempt.startswith("bad-") and at > fifth + CONTACT_S]
    print(f"BUDGET: {len(late)} requests with the part reached engines later than {CONTACT_S} s after the fifth crash, "
          f"{MAX_REACHED} are allowed")
    base = [a for at, a in sound if at < start + BASE_S]
    after = [a for at, a in sound if at > fifth + 2 * CONTACT_S]
    share = lambda answers: sum(1 for a in answers if a.begun_at is not None) / max(1, len(answers))
    print(f"LOST: sound requests that began at the first attempt: {share(base):.2f} of {len(base)} before, "
          f"{share(after):.2f} of {len(after)} from {2 * CONTACT_S} s after the fifth crash; half as many are needed")
    lost = min(len(base), len(after)) >= MIN_COUNT and share(after) < share(base) / 2
    return len(late) <= MAX_REACHED and not lost


run_case(main, __file__)
