"""Case 14: a caller omits a stage that another stage of its request needs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from standins import TROUBLE, Deployment, Engine, make_config, make_response, make_route, run_case, send

PIECE_KEY = "7c1e07a291bd"
BATCH = {"slots": 1, "queue": 2, "batch": 10, "callMs": 50.0, "itemMs": 5.0, "headroomMb": 22.0, "handleS": 4.0,
         "linkMbps": 10000}


class Model(Engine):
    async def run_request(self, attempt, headers, body, reader, writer):
        self.inputs = {**getattr(self, "inputs", {}), attempt: headers.get("inputs")}
        self.record.write("inputs", attempt=attempt, inputs=headers.get("inputs"))
        if "inputs" not in headers:
            return make_response(400, b"", [("Attempt-Id", attempt), ("Not-Executed", "1")])
        return await self.stream(attempt, headers, writer, 4, 0.02)


async def main(folder):
    d = Deployment(folder)
    try:
        stages = [{"service": "portal", "after": [], "bytes": 8000}, {"service": "dispatch", "after": [0], "bytes": 60000}]
        config = make_config(
            7, [make_route("plan", "streaming", "model", stages=stages, sessionAffinity=True)],
            [{"name": "model", "healthPath": "/health", "engine": {"slots": 16, "kvCapacity": 100000}},
             {"name": "portal", "healthPath": "/health", "pieces": BATCH},
             {"name": "dispatch", "healthPath": "/health", "pieces": BATCH}])
        engines = [Engine(d.store, d.record, f"i-{s}-{k}", s, 1) for s in ("portal", "dispatch") for k in range(2)]
        engines += [Model(d.store, d.record, f"i-model-{k}", "model") for k in range(2)]
        await d.start(config, engines, 2)
        status = {}
        for n in range(20):
            counts = "2,3" if not TROUBLE or n % 2 else "0,3"
            name = f"{'omits' if counts == '0,3' else 'whole'}-{n}"
            answer = await send(d.fronts[n % 2], "/plan/x", name, d.record, headers=[
                ("Pieces", counts), ("Piece-Key", PIECE_KEY), ("Model", "m"), ("Token-Usage", "900,80"),
                ("Prompt-Prefix", f"a1:500,{n + 0x1000:x}:400")])
            status[name] = answer.text()
        wrong = []
        for e in engines:
            for _, it in e.pieces:
                d.record.write("piece", engine=e.id, id=it["id"], stage=it["stage"], piece=it["piece"],
                               key=repr(it.get("key")), inputs=it.get("inputs"))
                if "key" in it and it["key"] != PIECE_KEY:
                    wrong.append(it)
        print(f"answers: {status}")
        print(f"UNASKED: {len(wrong)} pieces were asked for with another key than the client's {PIECE_KEY!r}, "
              f"for example {wrong[:1]}")
        return not wrong
    finally:
        await d.stop()


run_case(main, __file__)
