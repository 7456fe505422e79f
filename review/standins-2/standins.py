"""Small stand-ins of the platform, written from the users' pages: the metadata store, engines, and clients. The programs
under test are started with the command of `deploy/system.toml` and settings filled into `deploy/settings.yaml`.

Everything runs on loopback addresses. Each run uses addresses and ports that are free, and a temporary folder."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The program's own exit codes; `run.sh` turns BROKEN into 1. Python ends with 1 by itself after an error.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class CannotRun(Exception):
    """The case could not run; says nothing about the system."""


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_chunks(reader):
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


async def read_message(reader):
    """Reads a request. Returns its first line, headers with lower-case names, and body."""
    line, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return line, headers, await read_chunks(reader)
    return line, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def message(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """Serves HTTP/1.1 on a free port of a loopback address."""

    async def open(self, host="127.0.0.1"):
        self.connections = set()
        self.server = await asyncio.start_server(self.serve_connection, host, 0)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if not await self.handle(line, headers, body, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def reset_all(self):
        for it in list(self.connections):
            it.transport.abort()


class Store(Listener):
    """The platform's metadata store. `state` is "up", "busy" (503: nothing was done) or "silent"."""

    def __init__(self):
        self.rows = {}  # (table, part, key): row
        self.version = 1
        self.log = []  # (time, row as changed)
        self.oldest = 0  # Version before which the history is no longer available.
        self.era = 1
        self.state = "up"
        self.changed = asyncio.Condition()
        self.started_at = time.monotonic()
        self.calls = []  # (time, path)

    async def apply(self, entries):
        """Applies (table, part, key, value or None) as one transaction."""
        async with self.changed:
            self.version += 1
            for table, part, key, value in entries:
                row = {"table": table, "part": part, "key": key, "ver": self.version}
                if value is None:
                    self.rows.pop((table, part, key), None)
                    row["deleted"] = True
                else:
                    row["value"] = base64.b64encode(value.encode()).decode()
                    self.rows[(table, part, key)] = row
                self.log.append((time.monotonic(), row))
            self.changed.notify_all()
            return self.version

    async def put(self, table, key, value):
        return await self.apply([(table, "", key, value if value is None else json.dumps(value))])

    async def restore(self, copied_at):
        """Comes back from a copy of that moment: what was written since is gone, and versions go back."""
        async with self.changed:
            self.log = [it for it in self.log if it[0] <= copied_at]
            self.rows = {}
            for _, row in self.log:
                at = (row["table"], row["part"], row["key"])
                if "value" in row:
                    self.rows[at] = row
                else:
                    self.rows.pop(at, None)
            self.version = self.log[-1][1]["ver"] if self.log else 1
            self.era += 1
            self.changed.notify_all()

    def reply(self, writer, status, body=None):
        text = b"" if body is None else json.dumps(body).encode()
        writer.write(message(status, [("Content-Type", "application/json"), ("Store-Era", self.era)], text))
        return True

    def stamp(self):
        return {"ver": self.version, "nowMs": int((time.monotonic() - self.started_at) * 1000)}

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.calls.append((time.monotonic(), path))
        if self.state == "silent":
            await asyncio.sleep(3600)
        if self.state == "busy":
            return self.reply(writer, 503)
        if path == "/rows-tx":
            return await self.transact(json.loads(body), writer)
        if path == "/rows-get":
            return self.get(args, writer)
        if path == "/rows-feed":
            return await self.feed(args, writer)
        return self.reply(writer, 404)

    async def transact(self, call, writer):
        await asyncio.sleep(0.005)
        conditions = call.get("precondition", [])
        known = [self.rows.get((it["table"], it["part"], it["key"])) for it in conditions]
        if any((row["ver"] if row else 0) != it["ver"] for row, it in zip(known, conditions)):
            return self.reply(writer, 412, {"rows": [it for it in known if it], **self.stamp()})
        writes = [(it["table"], it["part"], it["key"], base64.b64decode(it["value"]).decode()) for it in call["writes"]]
        removes = [(it["table"], it["part"], it["key"], None) for it in call["remove"]]
        if any(it[0] in ("op", "servers") for it in writes + removes):
            return self.reply(writer, 403)
        await self.apply(writes + removes)
        return self.reply(writer, 200, self.stamp())

    def get(self, args, writer):
        keys = sorted(k for k in self.rows if k[0] == args["table"] and k[1] == args.get("part", "")
                      and k[2] >= args.get("from", "") and ("to" not in args or k[2] < args["to"]))
        limit = min(500, int(args.get("limit", 500)))
        rows = [self.rows[it] for it in keys[:limit]]
        return self.reply(writer, 200, {"rows": rows, "morePages": len(keys) > limit, **self.stamp()})

    async def feed(self, args, writer):
        after, table, era = int(args["after"]), args["table"], self.era

        def changes():
            latest = {}
            for _, row in self.log:
                if row["ver"] > after and row["table"] == table:
                    latest.pop((row["part"], row["key"]), None)
                    latest[(row["part"], row["key"])] = row
            return list(latest.values())

        def is_lost():
            return after > self.version or after < self.oldest or era != self.era

        try:
            async with self.changed:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: changes() or is_lost()), int(args.get("waitMs", 0)) / 1000)
        except asyncio.TimeoutError:
            pass
        if self.state != "up":
            return False
        return self.reply(writer, 410) if is_lost() else self.reply(writer, 200, {"rows": changes(), **self.stamp()})


class Engine(Listener):
    """A sound engine of a plain service. It notes each request that it begins to work on."""

    def __init__(self, record, engine_id, service, zone, slots=6, work=0.015):
        self.record = record
        self.id = engine_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.running = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, attempt, headers)

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    def load(self):
        return ("Server-Load", f"{self.running},0,{self.slots}")

    async def handle(self, line, headers, body, reader, writer):
        path = line.split(" ")[1]
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(message(421, [("Instance-Id", self.id)]))
            return True
        if path == "/health":
            writer.write(message(200, [("Instance-Id", self.id), self.load()]))
            return True
        if "attempt-id" not in headers:
            writer.write(message(400, [("Not-Executed", "1")]))
            return True
        return await self.run(path, headers, body, reader, writer)

    async def run(self, path, headers, body, reader, writer):
        attempt = headers["attempt-id"]
        if self.running >= self.slots:
            writer.write(message(503, [("Attempt-Id", attempt), ("Not-Executed", "1"), self.load()]))
            return True
        self.running += 1
        try:
            self.runs.append((time.monotonic(), attempt, headers))
            self.record.add(f"run      {attempt} at {self.id} tenant={headers.get('tenant', '-')}")
            await asyncio.sleep(self.work)
            writer.write(self.answer(attempt))
        finally:
            self.running -= 1
        return True

    def answer(self, attempt):
        return message(200, [("Attempt-Id", attempt), ("Response-Signature", f"{self.id}.{attempt}"), self.load()],
                       f"done {attempt}".encode())


def render(template, values):
    """Fills in a template as DEPLOY.md says, as far as `deploy/settings.yaml` needs it."""

    def lookup(name, scope):
        node = scope
        for part in name.split("."):
            node = node[int(part)] if isinstance(node, list) else node[part]
        return node

    def section(match):
        entries = lookup(match[1], values)
        out = []
        for i, entry in enumerate(entries):
            text = match[2].replace("{{.}}", str(entry)).replace("{{,}}", "," if i + 1 < len(entries) else "")
            out.append(text)
        return "".join(out)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(m[1], values)), text)

    def plain(match):
        value = lookup(match[1], values)
        return str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


def free_address(metrics_port):
    """Returns a loopback address on which the fixed port of the deploy file is free."""
    for _ in range(100):
        host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((host, metrics_port))
            return host
        except OSError:
            continue
    raise CannotRun("no loopback address is free")


def free_ports(host, n):
    sockets = [socket.socket() for _ in range(n)]
    for it in sockets:
        it.bind((host, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Front:
    """An instance of the system, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.host = free_address(9464)
        self.callers, self.ready, self.peers = free_ports(self.host, 3)
        self.process = None
        self.settings_path = os.path.join(deployment.folder, name + ".toml")
        self.log_path = os.path.join(deployment.folder, name + ".log")

    def write_settings(self):
        bounds = self.deployment.bounds
        values = {
            "node": self.name, "zone": self.zone, "region": "region", "ip": self.host,
            "zones": {it: "region" for it in self.deployment.zones},
            "internalPorts": [self.peers, self.peers + 15],
            "listen": {"front": f"{self.host}:{self.callers}", "ready": f"{self.host}:{self.ready}"},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "linkMbps": 1000.0},
            "platform": {"address": self.deployment.store.address}, "bounds": bounds,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform", "stages"],
        }
        role = self.deployment.role
        with open(os.path.join(REPOSITORY, role["template"])) as f:
            text = render(f.read(), values)
        with open(self.settings_path, "w") as f:
            f.write(text)

    async def start(self):
        self.write_settings()
        command = self.deployment.role["run"].split(" ")
        program = os.path.join(REPOSITORY, command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["FOXTAILWHEEL_CONFIG"] = self.settings_path
        log = open(self.log_path, "a")
        self.process = await asyncio.create_subprocess_exec(
            program, *command[1:], stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=env, cwd=REPOSITORY)
        log.close()
        self.deployment.record.add(f"start    {self.name}")

    async def stop(self, how=signal.SIGTERM):
        """Stops the process as the platform does: SIGTERM, and SIGKILL after `graceS`."""
        if self.process is None or self.process.returncode is not None:
            return
        self.deployment.record.add(f"{signal.Signals(how).name:8} {self.name}")
        self.process.send_signal(how)
        try:
            await asyncio.wait_for(self.process.wait(), self.deployment.bounds["graceS"])
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.deployment.record.add(f"ended    {self.name} code {self.process.returncode}")

    async def is_ready(self):
        try:
            status, _, _ = await request(self.host, self.ready, "GET", "/ready", [], timeout=0.9)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} was not ready within {seconds} s")
            await asyncio.sleep(0.05)
        self.deployment.record.add(f"ready    {self.name}")


async def request(host, port, method, path, headers, body=b"", timeout=5):
    """Sends one request on a new connection. Returns status, headers and body of a whole answer, and raises for none."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
            if not any(k == "Host" for k, _ in headers):
                lines.append("Host: h")
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, answer = await read_head(reader)
            if answer.get("transfer-encoding", "").lower() == "chunked":
                data = await read_chunks(reader)
            else:
                data = await reader.readexactly(int(answer.get("content-length", 0)))
            return int(line.split(" ")[1]), answer, data
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(exchange(), timeout)


class Deployment:
    """Store, engines and fronts of one run, with figures like those of a small deployment of the sites."""

    bounds = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
              "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
              "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56,
              "recoveryS": 12, "passMs": 120, "reuseWindowS": 10}
    zones = ["zone-a", "zone-b", "zone-c", "zone-d"]

    def __init__(self, case_folder):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as f:
            self.role = tomllib.load(f)["roles"]["front"]
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.record = Record(case_folder)
        self.store = Store()
        self.engines = []
        self.fronts = []
        self.beats = None

    async def open_store(self):
        await self.store.open()

    async def add_engine(self, engine):
        await engine.open()
        self.engines.append(engine)
        await self.announce(engine)
        return engine

    async def announce(self, engine, state="ready"):
        engine.state = state
        await self.store.put("servers", engine.id, engine.entry(state))

    async def add_front(self, name, zone):
        front = Front(self, name, zone)
        self.fronts.append(front)
        await front.start()
        return front

    async def write_config(self, config):
        """The operator's write; the time at which it returns is that of the acknowledgement."""
        await self.store.put("op", "config", config)
        self.record.add(f"config   version {config['version']} acknowledged")
        return time.monotonic()

    async def close(self):
        for it in self.fronts:
            if it.process is not None and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
            "tenants": tenants}


def route(name, service, kind="unsafe", **more):
    return {"name": name, "host": "app.example", "prefix": f"/{name}/", "kind": kind, "timeoutMs": 1500, "goalMs": 120,
            "priority": 2, "service": service, "maxAttempts": 2 if kind == "safe" else 1, "public": False,
            "sessionAffinity": False, "resumable": False, "stages": [], **more}


def run_case(case_folder, case):
    """Runs `case(deployment)`, an awaitable that returns what broke the rule; ends the process with the code of the
    case."""

    async def run():
        deployment = Deployment(case_folder)
        try:
            await deployment.open_store()
            broken = await asyncio.wait_for(case(deployment), 110)
        except (CannotRun, asyncio.TimeoutError) as error:
            deployment.record.add(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return NOT_RUN
        finally:
            await deployment.close()
        for it in broken[:20]:
            deployment.record.add(f"BROKEN   {it}")
        deployment.record.add(f"verdict  {len(broken)} times broken, trouble={int(TROUBLE)}")
        print(f"trouble={int(TROUBLE)}: {len(broken)} times broken" + "".join("\n  " + it for it in broken[:5]))
        return BROKEN if broken else HELD

    code = NOT_RUN
    try:
        code = asyncio.new_event_loop().run_until_complete(run())
        sys.stdout.flush()
    except BaseException:  # Whatever it was, the case has shown nothing.
        traceback.print_exc()
    os._exit(code)
