"""Stand-ins of the platform, of engines and of clients for the scripts of review 3, all on loopback.

They speak what PROTOCOL.md and the news page say. Nothing here is part of the product."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT = os.path.join(ROOT, "target", "foxtailwheel-front")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY, TENANT = "key-one", "tenant-one"


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")
        self.file.flush()


def free_ports(n):
    """Returns free ports below those that the system gives to outgoing connections, so that a process can restart."""
    ports = []
    while len(ports) < n:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            ports.append(port)
    return ports


given_ports = set()


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def make_response(status, body=b"", headers=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return (text + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode() + body


class HttpServer:
    """Serves HTTP/1.1 on a loopback port and can end all of its connections at once, as a crash does."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.tasks = {}

    async def listen(self):
        if not self.port:
            self.port = free_ports(1)[0]
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(
                    self._serve, HOST, self.port, reuse_address=True, limit=1 << 20)
                break
            except OSError:
                await asyncio.sleep(0.05)
        else:
            raise CannotRun("no port to listen on")

    async def close_all(self):
        if self.server:
            self.server.close()
            self.server = None
        for task, writer in list(self.tasks.items()):
            writer.transport.abort()
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks[task] = writer
        try:
            while True:
                line, headers, body = await read_message(reader)
                response = await self.handle(line, headers, body, reader, writer)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError,
                ValueError):
            pass
        finally:
            self.tasks.pop(task, None)
            try:
                writer.close()
            except Exception:
                pass


class Store(HttpServer):
    """The platform's metadata store. `away` makes it refuse every call."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.ver = 1
        self.log = []  # (time, row)
        self.era = 1
        self.away = False
        self.started = time.monotonic()
        self.changed = asyncio.Condition()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def put(self, table, key, value):
        async with self.changed:
            self.ver += 1
            row = {"table": table, "part": "", "key": key, "ver": self.ver}
            if value is None:
                if (table, key) not in self.rows:
                    return
                del self.rows[(table, key)]
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
                self.rows[(table, key)] = row
            self.log.append((time.monotonic(), row))
            self.changed.notify_all()

    async def restore(self, age):
        """Comes back from a copy that is `age` seconds old."""
        async with self.changed:
            at = time.monotonic() - age
            self.log = [it for it in self.log if it[0] <= at]
            rows = {}
            for _, row in self.log:
                rows[(row["table"], row["key"])] = row
            self.rows = {k: r for k, r in rows.items() if "value" in r}
            self.ver = self.log[-1][1]["ver"] if self.log else 1
            self.era += 1
            self.changed.notify_all()

    def answer(self, status, body=None):
        data = b"" if body is None else json.dumps(body).encode()
        return make_response(status, data, [("Store-Era", str(self.era)), ("Content-Type", "application/json")])

    async def handle(self, line, headers, body, reader, writer):
        if self.away:
            return self.answer(503)
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            call = json.loads(body)
            if any(r["table"] in ("op", "servers") for r in call.get("writes", []) + call.get("remove", [])):
                return self.answer(403)
            for p in call.get("precondition", []):
                row = self.rows.get((p["table"], p["key"]))
                if (row["ver"] if row else 0) != p["ver"]:
                    return self.answer(412, {"rows": [row] if row else [], "ver": self.ver, "nowMs": self.now_ms()})
            for r in call.get("writes", []):
                await self.put(r["table"], r["key"], base64.b64decode(r["value"]).decode())
            for r in call.get("remove", []):
                await self.put(r["table"], r["key"], None)
            return self.answer(200, {"ver": self.ver, "nowMs": self.now_ms()})
        if path == "/rows-get":
            rows = [r for (t, k), r in sorted(self.rows.items())
                    if t == args["table"] and k >= args.get("from", "") and ("to" not in args or k < args["to"])]
            limit = min(int(args.get("limit", 500)), 500)
            return self.answer(200, {"rows": rows[:limit], "ver": self.ver, "nowMs": self.now_ms(),
                                     "morePages": len(rows) > limit})
        if path == "/rows-feed":
            after, wait, era = int(args["after"]), int(args.get("waitMs", 0)) / 1000, self.era
            new = lambda: [r for _, r in self.log if r["ver"] > after and r["table"] == args["table"]]
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: new() or after > self.ver or self.era != era), wait)
            except asyncio.TimeoutError:
                pass
            if self.away:
                raise ConnectionResetError
            if after > self.ver:
                return self.answer(410)
            return self.answer(200, {"rows": new(), "ver": self.ver, "nowMs": self.now_ms()})
        return self.answer(404)


class Engine(HttpServer):
    """An engine: registers itself, answers health checks and runs requests and pieces. `run_request` may be replaced."""

    def __init__(self, store, record, name, service, slots=16, zone="a"):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.service, self.slots, self.zone = name, service, slots, zone
        self.state, self.sequence, self.born, self.up = "ready", 0, 0, False
        self.arrivals = []  # (time, attempt, headers)
        self.pieces = []  # (time, item)
        self.made_results = 0

    async def start(self):
        await self.listen()
        self.born, self.sequence, self.up = int(time.time() * 1000), 0, True
        self.beat_task = asyncio.create_task(self.beat())

    def entry(self):
        return {"service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def announce(self):
        self.sequence += 1
        await self.store.put("servers", self.id, json.dumps(self.entry()))

    async def beat(self):
        """The entry changes now and then, so it is written once and again when the store has lost it."""
        await self.announce()
        while True:
            await asyncio.sleep(1.2)
            if not self.store.away and ("servers", self.id) not in self.store.rows:
                await self.announce()

    async def crash(self, down_s):
        """The process ends without a word and is back after `down_s`, under its id and at its address. Returns False if it
        is down already: several requests may crash it at once."""
        if not self.up:
            return False
        self.up = False
        self.beat_task.cancel()
        self.record.write("engine_crash", id=self.id)
        await self.close_all()

        async def back():
            await asyncio.sleep(down_s)
            await self.start()
            self.record.write("engine_back", id=self.id)
        self.back_task = asyncio.create_task(back())
        return True

    async def handle(self, line, headers, body, reader, writer):
        if headers.get("expect-instance", self.id) != self.id:
            return make_response(421, b"", [("Instance-Id", self.id)])
        method, target, _ = line.split(" ")
        if target == "/health":
            return make_response(200, b"", [("Instance-Id", self.id), ("Server-Load", f"0,0,{self.slots}")])
        if target == "/stage-free":
            return make_response(200, b"{}", [("Content-Type", "application/json")])
        if target == "/stage-run":
            return await self.run_pieces(json.loads(body)["items"])
        attempt = headers.get("attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt, headers))
        self.record.write("arrived", engine=self.id, attempt=attempt)
        return await self.run_request(attempt, headers, body, reader, writer)

    async def run_pieces(self, items):
        await asyncio.sleep(0.03 + 0.003 * len(items))
        out = []
        for it in items:
            self.pieces.append((time.monotonic(), it))
            self.made_results += 1
            out.append({"handle": f"{HOST}:{self.port}/{self.made_results:x}"})
        return make_response(200, json.dumps({"items": out}).encode(), [("Content-Type", "application/json")])

    def answer_headers(self, attempt):
        return [("Attempt-Id", attempt), ("Response-Signature", f"{self.id}.{attempt}"),
                ("Server-Load", f"1,0,{self.slots}")]

    async def run_request(self, attempt, headers, body, reader, writer):
        await asyncio.sleep(0.015)
        self.record.write("ran", engine=self.id, attempt=attempt)
        return make_response(200, f"answer of {attempt}".encode(), self.answer_headers(attempt))

    async def begin_stream(self, attempt, writer):
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "".join(f"{k}: {v}\r\n" for k, v in self.answer_headers(attempt)) + "\r\n")
        writer.write(head.encode())
        await writer.drain()

    async def send_event(self, n, attempt, writer):
        event = f"id: {n}\ndata: {attempt}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()

    async def stream(self, attempt, headers, writer, events, gap_s):
        """Sends a whole stream of events, and goes on after `Last-Event-Id`."""
        first = int(headers.get("last-event-id", 0)) + 1
        await self.begin_stream(attempt, writer)
        for n in range(first, events + 1):
            await self.send_event(n, attempt, writer)
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.write("ran", engine=self.id, attempt=attempt)
        return b""


def fill(template, fields):
    """Fills in a template of settings as DEPLOY.md says, as far as deploy/settings.yaml uses it."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else ""
            else:
                value = value.get(part, "") if isinstance(value, dict) else ""
        return value

    def section(match):
        items = lookup(match.group(1)) or []
        out = []
        for i, it in enumerate(items):
            text = match.group(2).replace("{{.}}", str(it))
            out.append(text.replace("{{,}}", "," if i + 1 < len(items) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = lookup(name)
        if form == "json":
            return json.dumps(found)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+(?:\|json)?)\}\}", value, text)


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
          "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 58,
          "recoveryS": 12, "passMs": 120, "reuseWindowS": 9.4}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"]


class Front:
    """One process of the program, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.process = None

    def write_settings(self):
        d = self.deployment
        fields = {"node": self.name, "zone": self.zone, "region": "r", "ip": HOST, "zones": {z: "r" for z in d.zones},
                  "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
                  "internalPorts": [self.peer, self.peer], "platform": {"address": f"{HOST}:{d.store.port}"},
                  "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
                  "bounds": d.bounds, "contracts": CONTRACTS}
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as f:
            text = fill(f.read(), fields)
        # All machines share one address here, so each has a port of its own for metrics.
        text = re.sub(r"metrics_port: \d+", f"metrics_port: {self.metrics}", text)
        self.path = os.path.join(d.folder, f"{self.name}.yaml")
        with open(self.path, "w") as f:
            f.write(text)

    async def start(self):
        self.write_settings()
        self.log_path = os.path.join(self.deployment.folder, f"{self.name}.log")
        with open(self.log_path, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                FRONT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.deployment.folder,
                     "FOXTAILWHEEL_CONFIG": self.path})
        self.deployment.record.write("front_start", name=self.name)

    def signal(self, number):
        self.deployment.record.write("front_signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, self.ready), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")


class Deployment:
    """A small deployment: the store, engines and instances of the program."""

    def __init__(self, folder, zones=("a",), bounds=None):
        self.case_folder = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.zones = list(zones)
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.engines, self.fronts = [], []

    async def start(self, config, engines, fronts=2):
        if not os.access(FRONT, os.X_OK):
            raise CannotRun("target/foxtailwheel-front is not built")
        await self.store.listen()
        await self.write_config(config)
        self.engines = engines
        for it in engines:
            await it.start()
        for i in range(fronts):
            front = Front(self, f"front-{i}", self.zones[i % len(self.zones)])
            self.fronts.append(front)
            await front.start()
        for it in self.fronts:
            await it.wait_ready()
        await asyncio.sleep(2)  # The instances find one another.

    async def write_config(self, config):
        await self.store.put("op", "config", json.dumps(config))
        self.record.write("config_ack", version=config["version"])

    async def stop(self):
        for it in self.fronts:
            if it.process and it.process.returncode is None:
                try:
                    it.process.kill()
                except ProcessLookupError:
                    pass
                await it.process.wait()


def make_config(version, routes, services, keys=(KEY,), limits=None):
    return {"version": version, "routes": routes, "services": services,
            "tenants": [{"name": TENANT, "apiKeys": list(keys)}],
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                 "idleTimeoutMs": 15000}}


def make_route(name, kind, service, **more):
    return {"name": name, "host": "h.example", "prefix": f"/{name}/", "kind": kind, "service": service,
            "timeoutMs": 8000, "goalMs": 1200, "priority": 1, "maxAttempts": 2, "stages": [], "public": False,
            "sessionAffinity": False, "resumable": False, "gapGoalMs": 250, **more}


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.begun_at = 0, {}, b"", False, None

    def text(self):
        return f"{self.status or 'none'}{'' if self.complete else '-incomplete'}"


async def send(front, path, attempt, record, deadline_ms=8000, method="POST", headers=(), body=b"body", key=KEY,
               on_event=None):
    """Sends one request on a new connection and reads the answer to its end."""
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{k}: {v}" for k, v in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    else:
        body = b""
    record.write("sent", attempt=attempt, to=front.name, path=path)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, front.front), 1)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if answer.begun_at is None:
                    answer.begun_at = time.monotonic()
                if on_event:
                    on_event()
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000 + 0.5)
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    record.write("answered", attempt=attempt, result=answer.text(), bytes=len(answer.body))
    return answer


def run_case(main, file, limit_s=115):
    """Runs `main(folder)`, which returns True if the rule held, and exits with 0, 1 or 2."""
    folder = os.path.dirname(os.path.abspath(file))
    result = 2
    try:
        held = asyncio.run(asyncio.wait_for(main(folder), limit_s))
        result = 0 if held else 1
    except CannotRun as error:
        print(f"cannot run: {error}")
    except asyncio.TimeoutError:
        print("cannot run: the case takes too long")
    except Exception:
        traceback.print_exc()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
