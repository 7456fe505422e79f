"""An engine is killed in the middle of an answer that has no length, to a request whose body it has not read yet."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
sys.dont_write_bytecode = True
from harness import TROUBLE, CannotRun, Engine, Front, call, free_address, run

REQUESTS = 5
BODY_BYTES = int(os.environ.get("BODY_BYTES", 1_000_000))  # The configuration allows 4,194,304.


def expected_body(engine, attempt):
    text = f"answer of {engine.name} to {attempt};"
    return (text * (4000 // len(text) + 1))[:4000].encode()


async def witness_reset(world, engine):
    """Sends the same kind of request to the engine directly, and returns how the connection ends."""
    reader, writer = await asyncio.open_connection(engine.address, engine.port)
    writer.write(f"POST /book/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: witness\r\nContent-Length: {BODY_BYTES}\r\n"
                 "\r\n".encode() + b"b" * 20_000)
    try:
        while await reader.read(65536):
            pass
        return "end"
    except ConnectionResetError:
        return "reset"
    finally:
        writer.transport.abort()


async def one_request(world, front, n):
    engine = Engine(world, f"i-desk-{n}", "desk")
    await engine.start("early")
    await asyncio.sleep(0.5)
    attempt = world.attempt_id()
    world.record("client", sends=attempt, route="/book/", bytes=BODY_BYTES)
    headers = [("Host", "desk.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "6000"), ("Authorization", "Bearer key-1")]
    request = asyncio.create_task(call(front.address, front.port, "POST", "/book/x", headers, b"b" * BODY_BYTES))
    await engine.wait_for("half", 5, attempt)
    if TROUBLE:
        witness = asyncio.create_task(witness_reset(world, engine))
        await engine.wait_for("half", 5, "witness")
        await asyncio.sleep(0.1)
        engine.heartbeat.cancel()
        engine.process.kill()
        world.record("test", kills=engine.name)
        end = await asyncio.wait_for(witness, 5)
        world.record("witness with a connection to the engine", sees=end)
        if end != "reset":
            raise CannotRun("the connections of a killed engine were not reset")
    try:
        status, got, body, complete = await asyncio.wait_for(request, 10)
    except (asyncio.IncompleteReadError, OSError) as error:
        world.record("client", attempt=attempt, got=repr(error))
        return []
    whole = body == expected_body(engine, attempt)
    world.record("client", attempt=attempt, status=status, signature=got.get("response-signature"), bytes=len(body),
                 looks_complete=complete, is_whole_body=whole)
    engine.heartbeat.cancel()
    if not TROUBLE:
        if status != 200 or not whole:
            raise CannotRun("a request without the disruption is not answered")
        engine.process.kill()
    await world.store.put("servers", engine.name, None)
    await asyncio.sleep(0.5)
    if 200 <= status < 300 and complete and not whole:
        return [f"{attempt}: status {status} with {len(body)} of 4000 bytes, complete for the client"]
    return []


async def main(world):
    route = {"name": "book", "host": "desk.example", "prefix": "/book/", "kind": "unsafe", "timeoutMs": 6000,
             "goalMs": 1000, "priority": 0, "service": "desk", "maxAttempts": 1, "public": False}
    tenants = [{"name": "t1", "apiKeys": ["key-1"]}]
    await world.store.put("op", "config", world.config(
        1, [route], [{"name": "desk", "healthPath": "/health", "maxConnections": 110}], tenants))
    front = Front(world, "front-a-1", free_address())
    front.write_settings()
    await front.start()
    await front.wait_until_ready()
    broken = []
    for n in range(REQUESTS):
        broken += await one_request(world, front, n)
    return broken


run(main)
