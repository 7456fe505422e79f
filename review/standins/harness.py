"""Stand-ins for the platform, its store and clients, and the start of the project's program. Standard library only.

A case uses it as a library: `run(main)` gives `main` a `World`, writes `record.txt` and ends all processes.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STANDINS = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def free_port(address):
    with socket.socket() as it:
        it.bind((address, 0))
        return it.getsockname()[1]


def free_address():
    """A loopback address of its own: the deploy file fixes the port of the metrics."""
    for n in range(2, 250):
        address = f"127.41.{os.getpid() % 250}.{n}"
        try:
            with socket.socket() as it:
                it.bind((address, 9464))
            return address
        except OSError:
            continue
    raise CannotRun("no loopback address has port 9464 free")


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = []
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return head[0], dict(headers)


class Store:
    """The store, table form, as PROTOCOL.md describes it. `state`: "up", "silent" (no response), "busy" (503)."""

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.changes = []
        self.version = 1
        self.state = "up"
        self.changed = asyncio.Condition()
        self.began = time.monotonic()
        self.connections = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Writes or, with None, removes a row. The return is the acknowledgement."""
        async with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                self.rows.pop((table, key), None)
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
                self.rows[(table, key)] = row
            self.changes.append(row)
            self.changed.notify_all()

    def stop_answering(self):
        """From now on no call gets a response, those in progress included."""
        self.state = "silent"

    def result(self, rows, more=False):
        now_ms = int((time.monotonic() - self.began) * 1000)
        return 200, {"rows": rows, "morePages": more, "ver": self.version, "nowMs": now_ms}

    async def feed(self, query):
        after, wait = int(query["after"]), min(int(query.get("waitMs", 0)), 30000) / 1000
        find = lambda: [it for it in self.changes if it["ver"] > after and it["table"] == query["table"]]
        try:
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(find), wait)
        except asyncio.TimeoutError:
            pass
        newest = {}
        for it in find():
            newest[it["key"]] = it
        return self.result(sorted(newest.values(), key=lambda it: it["ver"]))

    async def transaction(self, body):
        entries = body.get("writes", []) + body.get("remove", [])
        if any(it["table"] in ("op", "servers") for it in entries):
            return 403, {}
        for it in body.get("precondition", []):
            row = self.rows.get((it["table"], it["key"]))
            if (row["ver"] if row else 0) != it["ver"]:
                return 412, {"rows": [row] if row else []}
        for it in body.get("writes", []):
            await self.put(it["table"], it["key"], base64.b64decode(it["value"]).decode())
        for it in body.get("remove", []):
            await self.put(it["table"], it["key"], None)
        return self.result([])

    async def handle(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path == "/rows-tx":
            return await self.transaction(json.loads(body))
        if path == "/rows-feed":
            return await self.feed(query)
        if path == "/rows-get":
            first, last = query.get("from", ""), query.get("to")
            rows = [r for (t, k), r in sorted(self.rows.items())
                    if t == query["table"] and k >= first and (last is None or k < last)]
            limit = min(int(query.get("limit", 500)), 500)
            return self.result(rows[:limit], len(rows) > limit)
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split(" ")
                if self.state == "busy":
                    status, answer = 503, {}
                elif self.state == "up":
                    status, answer = await self.handle(method, target, body)
                if self.state == "silent":
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


class Engine:
    """An engine in a process of its own (`engine.py`), with its entry in the store."""

    def __init__(self, world, name, service):
        self.world, self.name, self.service = world, name, service
        self.address = "127.0.0.1"
        self.port = free_port(self.address)
        self.sequence = 0
        self.heartbeat = None
        self.events = []

    async def start(self, mode):
        self.born = int(time.time() * 1000)
        self.process = await self.world.start([sys.executable, os.path.join(STANDINS, "engine.py"), self.name, mode,
                                               str(self.port)], stdout=asyncio.subprocess.PIPE)
        self.reading = asyncio.create_task(self.read_events())
        await self.wait_for("listening", 10)
        await self.write_entry()
        self.heartbeat = asyncio.create_task(self.beat())

    async def crash(self):
        """Killed; its entry stays until three heartbeats have passed."""
        self.heartbeat.cancel()
        self.process.kill()
        await self.process.wait()
        self.world.record("test", kills=self.name)

    async def restart(self, mode):
        """Starts again under the id and at the address that it had."""
        self.events.clear()
        self.sequence = 0
        await self.start(mode)
        self.world.record("test", restarts=self.name)

    async def read_events(self):
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            self.events.append(event)
            self.world.record(f"engine {self.name} ({self.service})", **event)

    async def wait_for(self, what, seconds, attempt=None):
        end = time.monotonic() + seconds
        while not any(it["event"] == what and it.get("attempt") == attempt for it in self.events):
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} has not reported '{what}'")
            await asyncio.sleep(0.005)

    def runs(self):
        return [it["attempt"] for it in self.events if it["event"] == "run"]

    def entry(self, **changes):
        return {"service": self.service, "address": f"{self.address}:{self.port}", "zone": "zone-a", "version": "v1",
                "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
                **changes}

    async def write_entry(self):
        self.sequence += 1
        await self.world.store.put("servers", self.name, json.dumps(self.entry()))

    async def beat(self):
        while True:
            await asyncio.sleep(self.world.fields["heartbeatMs"] / 1000)
            await self.write_entry()


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.0}} as DEPLOY.md describes them; the template here uses no others."""
    def value(match):
        node = fields
        for part in match.group(1).split("."):
            node = node[int(part)] if isinstance(node, list) else node.get(part, "")
        return str(node)
    return re.sub(r"\{\{([^}]*)\}\}", value, template)


class Front:
    """The project's program on one machine, started as the deploy file says."""

    def __init__(self, world, name, address):
        self.world, self.name, self.address = world, name, address
        self.port, self.ready_port = free_port(address), free_port(address)
        self.peer_port = free_port(address)
        self.log_path = os.path.join(world.folder, name + ".log")

    def write_settings(self, **bounds):
        world = self.world
        fields = {**world.fields, "node": self.name, "ip": self.address, "bounds": {**world.fields["bounds"], **bounds},
                  "internalPorts": [self.peer_port, self.peer_port],
                  "listen": {"front": f"{self.address}:{self.port}", "ready": f"{self.address}:{self.ready_port}"},
                  "platform": {"address": f"127.0.0.1:{world.store.port}", "form": "table"}}
        with open(os.path.join(REPO, world.role["template"])) as f:
            text = render(f.read(), fields)
        self.settings_path = os.path.join(world.folder, self.name + ".settings")
        with open(self.settings_path + ".new", "w") as f:
            f.write(text)
        os.replace(self.settings_path + ".new", self.settings_path)

    async def start(self):
        program = os.path.join(REPO, self.world.role["run"])
        if not os.path.exists(program):
            raise CannotRun(f"{self.world.role['run']} is missing: run the build of the deploy file")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["FOXTAILWHEEL_CONFIG"] = self.settings_path
        with open(self.log_path, "ab") as log:
            self.process = await self.world.start([program], cwd=REPO, env=env, stdout=log, stderr=log)

    async def is_ready(self):
        try:
            status, *_ = await asyncio.wait_for(call(self.address, self.ready_port, "GET", "/ready", [], b""), 1)
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            return False

    async def wait_until_ready(self, seconds=20):
        """The platform asks once per second; here more often, to save time."""
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


async def call(address, port, method, target, headers, body):
    """One request on a new connection. Returns status, headers, body, and whether the response is complete."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        if not any(k == "Host" for k, _ in headers):
            head += "Host: platform.example\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        line, got = await read_head(reader)
        status = int(line.split(" ")[1])
        data = b""
        try:
            if got.get("transfer-encoding") == "chunked":
                while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                    data += (await reader.readexactly(size + 2))[:-2]
                await reader.readuntil(b"\r\n")
            elif "content-length" in got:
                data = await reader.readexactly(int(got["content-length"]))
            else:
                data = await reader.read(-1)
        except (OSError, asyncio.IncompleteReadError) as error:
            return status, got, data + getattr(error, "partial", b""), False
        return status, got, data, True
    finally:
        writer.transport.abort()


class World:
    """The deployment of one run of a case."""

    def __init__(self, folder, record_file):
        with open(os.path.join(REPO, "deploy", "system.toml"), "rb") as f:
            self.role = tomllib.load(f)["roles"]["front"]
        self.folder, self.record_file = folder, record_file
        self.began = time.monotonic()
        self.processes = []
        self.next_attempt = 0
        self.fields = {
            "zone": "zone-a", "region": "region-1", "heartbeatMs": 1200,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
            "bounds": {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "strictRevoke": "true",
                       "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 58}}

    def record(self, who, **fields):
        at = f"{time.monotonic() - self.began:8.3f} s"
        self.record_file.write(f"{at}  {who}: " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")
        self.record_file.flush()

    async def start(self, command, **options):
        process = await asyncio.create_subprocess_exec(*command, **options)
        self.processes.append(process)
        return process

    async def stop_all(self):
        for it in self.processes:
            if it.returncode is None:
                try:
                    it.send_signal(signal.SIGCONT)
                    it.kill()
                except ProcessLookupError:
                    pass
        for it in self.processes:
            await it.wait()

    def attempt_id(self):
        self.next_attempt += 1
        return f"{os.getpid():08x}{self.next_attempt:08x}"

    def config(self, version, routes, services, tenants=None):
        node = {"version": version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000}}
        if tenants is not None:
            node["tenants"] = tenants
        return json.dumps(node)


def run(main):
    """Runs a case; exits with 1 if `main` returns what broke the rule, 0 if it returns nothing, 2 if it couldn't run."""
    case_folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    folder = tempfile.mkdtemp(prefix="foxtailwheel-review-")
    code = 2

    async def guarded():
        with open(os.path.join(case_folder, "record.txt"), "w") as record_file:
            world = World(folder, record_file)
            world.record("test", trouble=int(TROUBLE))
            world.store = Store(world)
            loop = asyncio.get_running_loop()
            task = asyncio.current_task()
            for it in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(it, task.cancel)
            try:
                await world.store.open()
                broken = await asyncio.wait_for(main(world), TIME_LIMIT_S)
                for it in broken:
                    world.record("rule broken", what=it)
                world.record("result", broken=len(broken))
                return 1 if broken else 0
            except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
                world.record("could not run", error=repr(error))
                print(f"could not run: {error!r}", file=sys.stderr)
                return 2
            finally:
                await world.stop_all()

    try:
        code = asyncio.run(guarded())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        sys.stdout.flush()
        os._exit(code)
