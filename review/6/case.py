"""REFUSED: an engine runs a request that may run once and fails it with a 503 or 429 of its own, without `Not-Executed`.
The caller is told 503 or 429, the statuses that promise that it hasn't run and never will."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import TROUBLE, Engine, config, message, request, route, run_case  # noqa: E402

PROMISES = (408, 421, 429, 503)
GREY_SHARE = 0.4  # Of the requests of one of four engines.
CHARGES = 120


class GreyEngine(Engine):
    """Does the work of each request, and then fails part of them; its health check is good."""

    def answer(self, attempt):
        if not TROUBLE or random.random() >= GREY_SHARE:
            return super().answer(attempt)
        status = random.choice([429, 503])
        self.record.add(f"fail     {attempt} at {self.id} with {status}, after it ran")
        return message(status, [("Attempt-Id", attempt), ("Response-Signature", f"{self.id}.{attempt}"), self.load()],
                       b"the card was charged, the receipt could not be stored")


async def case(deployment):
    record = deployment.record
    for i, zone in enumerate(deployment.zones):
        kind = GreyEngine if i == 0 else Engine
        await deployment.add_engine(kind(record, f"i-core-{i}", "subs-core", zone))
    await deployment.write_config(config(
        3, [route("renew-charge", "subs-core")], [{"name": "subs-core", "healthPath": "/health"}],
        [{"name": "studio", "apiKeys": ["key-studio-1"]}]))
    for i in range(2):
        await deployment.add_front(f"front-{i}", deployment.zones[i])
    for it in deployment.fronts:
        await it.wait_ready()
    answers = {}  # Status by attempt.
    attempts_of = {}

    async def charge(n):
        """A client: it sends an unsafe request again only after a promise, as a new attempt."""
        for attempt_number in range(2):
            attempt = f"{n:04x}{attempt_number:012x}"
            attempts_of.setdefault(n, []).append(attempt)
            front = deployment.fronts[(n + attempt_number) % 2]
            record.add(f"send     {attempt} (charge {n}) to {front.name}")
            headers = [("Host", "app.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "1500"),
                       ("Authorization", "Bearer key-studio-1")]
            try:
                status, _, _ = await request(
                    front.host, front.callers, "POST", "/renew-charge/x", headers, b"charge", 2)
            except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = 0
            answers[attempt] = status
            record.add(f"answer   {attempt} {status or 'none'}")
            if status not in PROMISES:
                return

    tasks = []
    for n in range(CHARGES):
        tasks.append(asyncio.create_task(charge(n)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    runs = [attempt for engine in deployment.engines for _, attempt, _ in engine.runs]
    broken = [f"{attempt} was answered {status} and has run" for attempt, status in answers.items()
              if status in PROMISES and attempt in runs]
    doubled = [n for n, attempts in attempts_of.items() if sum(it in runs for it in attempts) > 1]
    record.add(f"counts   {len(runs)} runs, {len(broken)} answered as not run, {len(doubled)} charges made twice")
    print(f"{len(answers)} attempts, {len(runs)} runs, {len(doubled)} charges made twice")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
