"""A stand-in for an engine, a process of its own. usage: engine.py ID MODE PORT

Writes what it does to standard output, one JSON object a line. It answers 421 to a request that names another engine.
MODE is "plain" (a whole answer at once), "busy" or "slow" (the same after 0.2 or 2 s), or "early": it answers a long
request before it has read the whole body, without a length, in two halves with a pause of half a second, and reads the
rest of the body in between.
"""

import json
import socket
import sys
import threading
import time

ANSWER_BYTES = 4000
WORK_S = {"slow": 2.0, "busy": 0.2}


def report(event, **fields):
    sys.stdout.write(json.dumps({"event": event, **fields}) + "\n")
    sys.stdout.flush()


def read_head(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(4096)
        if not part:
            return None
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    return lines[0], headers, rest


def answer_body(name, attempt):
    text = f"answer of {name} to {attempt};"
    return (text * (ANSWER_BYTES // len(text) + 1))[:ANSWER_BYTES].encode()


def read_rest(connection, missing):
    while missing > 0:
        part = connection.recv(65536)
        if not part:
            return False
        missing -= len(part)
    return True


def serve(connection, name, mode):
    request = read_head(connection)
    if request is None:
        return
    line, headers, rest = request
    missing = int(headers.get("content-length", 0)) - len(rest)
    attempt = headers.get("attempt-id", "")
    if headers.get("expect-instance", name) != name:
        read_rest(connection, missing)
        connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode())
        return
    body = answer_body(name, attempt)
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {name}.{attempt}\r\nServer-Load: 1,0,6\r\n"
    report("run", attempt=attempt, request=line, tenant=headers.get("tenant", ""))
    if mode in WORK_S:
        read_rest(connection, missing)
        time.sleep(WORK_S[mode])
        missing = 0
        mode = "plain"
    if mode == "plain":
        read_rest(connection, missing)
        connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        report("answered", attempt=attempt, bytes=len(body))
        return
    half = len(body) // 2
    connection.sendall(f"{head}Connection: close\r\n\r\n".encode() + body[:half])
    report("half", attempt=attempt, bytes=half, unread=missing)
    time.sleep(0.5)
    read_rest(connection, missing)
    connection.sendall(body[half:])
    report("answered", attempt=attempt, bytes=len(body))


def serve_safely(connection, name, mode):
    try:
        serve(connection, name, mode)
    except OSError as error:
        report("broken_off", error=str(error))
    finally:
        connection.close()


def main():
    name, mode, port = sys.argv[1], sys.argv[2], int(sys.argv[3])
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if mode == "early":
        # As on a link with the usual packet size of 1,500 bytes and small windows.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
    listener.bind(("127.0.0.1", port))
    listener.listen(128)
    report("listening")
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve_safely, args=(connection, name, mode), daemon=True).start()


main()
