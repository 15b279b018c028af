"""Cost of links: processor time and bytes for each message.

Calls are measured at three rates, heartbeats at three sizes and in bursts of three lengths. Times
are in microseconds in the table, in seconds in the JSON.

Usage: python -m bench.link [seconds for each point]
"""

import json
from subprocess import Popen
from sys import argv, executable

from anyio import create_task_group, move_on_after, run, sleep

from bench.meter import ByteCounter, cpu_seconds, fit_line, process_cpu_seconds
from siskintally.link import Link, LinkServer
from siskintally.log import configure_logging
from siskintally.session import Handler
from siskintally.wire_pb2 import Done, Hello, JobReport, WorkerBeat

SERVER_PORT = 17901
RELAY_PORT = 17902
SECRET = "0123456789abcdef"
RATES = (50, 100, 200)
ATTEMPTS = (0, 10, 40)
BURSTS = (1, 5, 25)
DEFAULT_SECONDS = 3.0


class DoneHandler(Handler):
    """Answers every call with ``Done`` and ignores messages."""

    async def handle_call(self, session, body):
        """Answer a call."""
        return Done()


def heartbeat(attempts):
    """Return a heartbeat of a worker with some attempts."""
    body = WorkerBeat(worker="worker-101", domain="jylland-a", rack="rack-7", session="a1b2c3d4")
    for number in range(attempts):
        body.attempts.add(task_id=f"job-1234/{number}", attempt=1)
    return body


async def serve():
    """Run the server, in a process of its own."""
    configure_logging(process="server", level="error")
    hello = Hello(name="server", cell="bench", incarnation="1")
    await LinkServer(hello=hello, secret=SECRET, handler=DoneHandler()).serve(
        host="127.0.0.1", port=SERVER_PORT
    )


async def send_at_rate(link, counter, server, *, rate, seconds, send, burst=1):
    """Send at a rate; return the CPU seconds of client and server and the bytes for one message."""
    before = cpu_seconds(), process_cpu_seconds(server.pid), counter.sent + counter.received
    count = int(rate * seconds)
    for number in range(count):
        await send(link)
        if number % burst == burst - 1:
            await sleep(burst / rate)
    await sleep(0.2)
    after = cpu_seconds(), process_cpu_seconds(server.pid), counter.sent + counter.received
    return [(b - a) / count for a, b in zip(before, after, strict=True)]


async def call(link):
    """Make one call."""
    await link.call(JobReport(group="jylland-a"), timeout=5)


def heartbeat_sender(attempts):
    """Return a function that sends one heartbeat."""

    async def send(link):
        link.send(heartbeat(attempts))

    return send


async def idle_cpu(seconds):
    """Return the processor time of the pacing loop itself, for one turn at the lowest rate."""
    before = cpu_seconds()
    count = int(RATES[0] * seconds)
    for _ in range(count):
        await sleep(1 / RATES[0])
    return (cpu_seconds() - before) / count


async def measure_points(link, counter, server, seconds):
    """Yield the name and the costs of each measuring point."""
    for rate in RATES:
        costs = await send_at_rate(link, counter, server, rate=rate, seconds=seconds, send=call)
        yield f"call at {rate}/s", costs
    for size in ATTEMPTS:
        costs = await send_at_rate(
            link, counter, server, rate=100, seconds=seconds, send=heartbeat_sender(size)
        )
        yield f"beat of {size} attempts", costs
    for burst in BURSTS:
        costs = await send_at_rate(
            link, counter, server, rate=200, seconds=seconds, send=heartbeat_sender(0), burst=burst
        )
        yield f"beat in bursts of {burst}", costs


async def measure_through(port, counter, server, seconds):
    """Return ``{point: costs}`` over the port of the server or of the relay."""
    hello = Hello(name="client", cell="bench", incarnation="1")
    link = Link(host="127.0.0.1", port=port, hello=hello, secret=SECRET, handler=DoneHandler())
    async with create_task_group() as tasks:
        if port == RELAY_PORT:
            tasks.start_soon(counter.run)
        tasks.start_soon(link.run)
        with move_on_after(20):
            await link.wait_open()
        result = {
            name: costs async for name, costs in measure_points(link, counter, server, seconds)
        }
        tasks.cancel_scope.cancel()
    return result


async def measure(seconds):
    """Return ``{point: (client s, server s, bytes)}`` for one message.

    Processor time is measured over a direct link, bytes through the relay.
    """
    server = Popen([executable, "-m", "bench.link", "--serve"])
    try:
        counter = ByteCounter(port=RELAY_PORT, target=SERVER_PORT)
        direct = await measure_through(SERVER_PORT, counter, server, seconds)
        relayed = await measure_through(RELAY_PORT, counter, server, seconds)
        idle = await idle_cpu(seconds)
    finally:
        server.terminate()
        server.wait()
    return {
        name: (client - idle, server_s, relayed[name][2])
        for name, (client, server_s, _) in direct.items()
    }


def main():
    """Print the table and its slopes."""
    if "--serve" in argv:
        run(serve)
        return
    configure_logging(process="client", level="error")
    seconds = float(argv[1]) if len(argv) > 1 else DEFAULT_SECONDS
    result = run(measure, seconds)
    print(f"{'message':24} {'client us':>10} {'server us':>10} {'bytes':>8}")
    for name, (client, server, size) in result.items():
        print(f"{name:24} {client * 1e6:10.0f} {server * 1e6:10.0f} {size:8.0f}")
    sizes = [(size, result[f"beat of {size} attempts"]) for size in ATTEMPTS]
    cpu_slope, cpu_base = fit_line([(size, row[1]) for size, row in sizes])
    bytes_slope, bytes_base = fit_line([(size, row[2]) for size, row in sizes])
    slopes = {
        "beat_server_s": cpu_base,
        "beat_attempt_server_s": cpu_slope,
        "beat_bytes": bytes_base,
        "beat_attempt_bytes": bytes_slope,
        "call_client_s": result[f"call at {RATES[-1]}/s"][0],
        "call_server_s": result[f"call at {RATES[-1]}/s"][1],
        "call_bytes": result[f"call at {RATES[-1]}/s"][2],
    }
    print(json.dumps(slopes))


if __name__ == "__main__":
    main()
