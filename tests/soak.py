"""Fault soak of the control plane: real store and entry processes, faults from outside, seeded.

Three stores and two entries run as processes of their own; workers are stand-ins in this process,
each behind a forwarder. Faults come in series and overlap: processes are paused, killed, stopped,
reloaded, also in series while they start or stop, and restarted; connections to workers are
delayed, reset, cut in one direction or silenced; workers crash and start again under their id;
workers carry out starts late, which they have not answered, and refuse the repeats; the queue is
removed and put back, and gets other names.
At most one store is away at a time, which is what three stores bear.

Usage: python -m tests.soak [--seeds N] [--first SEED] [--length_s S]

The workers' own records and the answers of the entries decide, not what the system says of itself:

* no worker runs more than fits, and no task runs twice at a time;
* no task starts after one of its runs has ended as done, if that end is acknowledged to the worker
  before its lease has lapsed;
* a flow all of whose submissions were refused never starts;
* an accepted flow is never unknown, and is completed after the faults, unless it was cancelled;
* no task of a cancelled flow runs on.
"""

from collections import Counter
from contextlib import suppress
from json import loads
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import SIGHUP
from traceback import print_exc

from absl import app, flags, logging
from anyio import Event, create_task_group, fail_after, run, sleep
from httpx import AsyncClient, Limits

from siskintally.clock import now as steady
from siskintally.driver import EndKind, Refusal
from siskintally.http_server import serve_http
from siskintally.stub_pool import StubPool
from tests.forwarder import Forwarder
from tests.late_starts import CARRIED_OUT, LateStarts, LateStartWorkerApp
from tests.processes import Processes, free_ports, wait_until
from tests.test_platform_process import CONFIG, HOSTS, PlatformCell

ENTRIES = ("127.0.0.34", "127.0.0.35")
CPU_MILLI = 4000
TASK_CPU_MILLI = 1000
HEARTBEAT_S = 1.0
CHECK_S = 0.02
ATTEMPTS = 5
REFUSED_STATUSES = (429, 503)
LATE_START_SHARE = 0.5
LATE_START_DELAY_S = (0.5, 3.0)
LATE_START_REPEATS = ("room", "400", CARRIED_OUT)
# Longest time after the last fault until all flows are completed and all cancelled tasks are gone.
SETTLE_S = 60.0
DEFAULT_LENGTH_S = 30.0


class SoakWorkerApp(LateStartWorkerApp):
    """A worker whose status polls wait for an end, as the leader asks them to.

    ``noted_runs``: (task id, run) of the ends as done that were acknowledged while the lease had
    not lapsed since; such an end counts for good. ``lapsed_runs``: those whose lease lapsed first.
    """

    def __init__(self, *, worker):
        super().__init__(worker=worker)
        self.noted_runs = set()
        self.lapsed_runs = set()
        self.is_over = False

    async def handle(self, request):
        """Answer one call; an incarnation that is over answers none."""
        if self.is_over:
            return None
        if request.path == "/hold":
            body = loads(request.body)
            self._record_noted(body)
            await self._wait_for_end(body)
        return None if self.is_over else await super().handle(request)

    def _record_noted(self, body):
        for end in self._unacknowledged_done():
            is_acknowledged = (
                end.number <= body["ackedUpto"] and body["fence"] >= self.worker._fence
            )
            if is_acknowledged and (end.task_id, end.run) not in self.lapsed_runs:
                self.noted_runs.add((end.task_id, end.run))

    def record_lapse(self):
        """Record the ends that the lease has outrun, if it has lapsed."""
        if self.worker.clock_ms >= self.worker._lease_until_ms:
            ends = self._unacknowledged_done()
            self.lapsed_runs.update((end.task_id, end.run) for end in ends)

    def _unacknowledged_done(self):
        return [end for end in self.worker._unacknowledged_ends if end.kind == EndKind.DONE]

    async def _wait_for_end(self, body):
        """Renew the lease and wait until there is an end that is not acknowledged."""
        deadline = steady() + body.get("waitMs", 0) / 1000
        lease_until_ms = body.get("untilMs")
        while not self.is_over:
            report = self.worker.poll_status(
                fence=body["fence"],
                lease_until_ms=lease_until_ms,
                committed_end_number=body["ackedUpto"],
            )
            if report.ended or report.refusal != Refusal.NONE or steady() >= deadline:
                return
            lease_until_ms = None
            await sleep(CHECK_S)


class SoakWorkerHost:
    """Address of a worker, whose incarnations each have a server of their own.

    So a request on a connection of a former incarnation never reaches the next one.

    :param pool: :class:`~siskintally.stub_pool.StubPool`.
    """

    def __init__(self, *, name, port, pool):
        self.lives = []
        self._name = name
        self._address = f"127.0.0.1:{port}"
        self._pool = pool
        self._stop_event = Event()
        self._begin_life()

    @property
    def life(self):
        """Current incarnation."""
        return self.lives[-1]

    def _begin_life(self):
        born_ms = 1 + len(self.lives)
        worker = self._pool.add(self._name, cpu_milli=CPU_MILLI, memory_mb=4000, born_ms=born_ms)
        self.lives.append(SoakWorkerApp(worker=worker))

    def start_again(self):
        """End the incarnation and begin one under the same id, which knows nothing of before."""
        self.life.is_over = True
        self.life.worker.running_by_task.clear()
        self._begin_life()
        self._stop_event.set()

    async def serve(self, stop_event):
        """Serve one incarnation after the other until an event is set."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._stop_when, stop_event)
            while not stop_event.is_set():
                self._stop_event = Event()
                await serve_http(
                    self.life, address=self._address, stop_event=self._stop_event, graceful_s=0.1
                )

    async def _stop_when(self, stop_event):
        await stop_event.wait()
        self._stop_event.set()


class SoakFlow:
    """A flow and what its caller was told."""

    __slots__ = ("answers", "cancelled_at", "id", "is_lasting", "task_count")

    def __init__(self, *, flow_id, is_lasting, task_count):
        self.id = flow_id
        self.is_lasting = is_lasting
        self.task_count = task_count
        self.answers = []
        self.cancelled_at = None

    @property
    def is_accepted(self):
        """Whether an answer said that the flow is stored."""
        return 200 in self.answers

    @property
    def was_only_refused(self):
        """Whether every submission was refused as not accepted."""
        return bool(self.answers) and all(answer in REFUSED_STATUSES for answer in self.answers)


class SoakCell(PlatformCell):
    """Stores and entries in processes; ``length_s`` of load and faults from one seed."""

    worker_count = 4
    submit_interval_s = 0.35
    cancel_share = 0.15
    lasting_share = 0.1

    def __init__(self, *, processes, seed, length_s):
        super().__init__(processes=processes)
        self.seed = seed
        self.random = Random(seed)
        self.length_s = length_s
        self.flow_by_id = {}
        self.faults = Counter()
        self.violations = []
        self.store_is_away = False
        self.queue_is_removed = False
        self.queue_name = CONFIG["routes"][0]["name"]
        self.config_version = CONFIG["version"]
        self.is_over = False
        self.started_command_by_host = {}
        self.pool = StubPool(clock=steady, run_s=self.run_s)
        self.worker_ports = free_ports(self.worker_count)
        self.forwarders = [
            Forwarder(port=port, target=target)
            for port, target in zip(free_ports(self.worker_count), self.worker_ports, strict=True)
        ]
        self.worker_hosts = [
            SoakWorkerHost(name=f"i-{number}", port=port, pool=self.pool)
            for number, port in enumerate(self.worker_ports)
        ]

    @property
    def lives(self):
        """All incarnations of all workers."""
        return [life for host in self.worker_hosts for life in host.lives]

    @property
    def late_start_count(self):
        """Number of runs that were started late."""
        return sum(len(life.executed_late) for life in self.lives)

    @property
    def refused_repeat_count(self):
        """Number of runs whose start was refused before the first attempt was carried out."""
        return sum(len(life.refused_repeats) for life in self.lives)

    def run_s(self, task_id):
        """Return the run time of a task, s."""
        flow = self.flow_by_id.get(task_id.partition(".")[0])
        if flow is not None and flow.is_lasting:
            return 3600.0
        return 0.2 + Random(task_id).random()

    def start(self):
        """Start all processes."""
        for host in HOSTS:
            own_settings = (
                f'control = "{host}:{self.control}"\ndata = "{self.processes.folder}/{host}"\n'
            )
            self._start(host, "platform-store", own_settings)
        for host in ENTRIES:
            own_settings = f'callers = "{host}:{self.callers}"\nready = "{host}:{self.ready}"\n'
            self._start(host, "platform-entry", own_settings)

    def _start(self, host, command, own_settings):
        super()._start(host, command, own_settings)
        self.started_command_by_host[host] = command

    def restart(self, host):
        """Start a process again with its settings and its data."""
        path = self.processes.folder / f"{host}.toml"
        self.processes.start(host, self.started_command_by_host[host], f"--settings={path}")

    # Load

    async def call_entry(self, method, path, **arguments):
        """Call a random entry; return the status and the body, status None without an answer."""
        url = f"http://{self.random.choice(ENTRIES)}:{self.callers}{path}"
        headers = {"Host": "jobs.example", "Siskintally-Deadline-Ms": "3000"}
        answer = await self.ask(method, url, headers=headers, timeout=4.0, **arguments)
        return (None, {}) if answer is None else (answer.status_code, answer.json())

    async def submit_flows(self, tasks):
        """Submit flows in an open loop; some are cancelled a moment later."""
        for number in range(int(self.length_s / self.submit_interval_s)):
            tasks.start_soon(self.run_caller, f"{number:016x}")
            await sleep(self.submit_interval_s * self.random.uniform(0.5, 1.5))

    async def run_caller(self, flow_id):
        """Submit a flow until it is accepted; cancel it in some cases."""
        is_lasting = self.random.random() < self.lasting_share
        count = self.random.randint(1, 3)
        flow = SoakFlow(flow_id=flow_id, is_lasting=is_lasting, task_count=count)
        self.flow_by_id[flow_id] = flow
        step = {"count": count, "cpu": TASK_CPU_MILLI, "estimateMs": 700}
        steps = [step | {"longRunning": True}] if is_lasting else [step, step | {"after": [0]}]
        body = {"spec": "x", "steps": steps}
        for _ in range(ATTEMPTS):
            status, _ = await self.call_entry("POST", f"/q/{flow_id}", json=body)
            flow.answers.append(status)
            if status == 200:
                break
            await sleep(self.random.uniform(0.2, 1.0))
        if flow.is_accepted and (is_lasting or self.random.random() < self.cancel_share):
            await sleep(self.random.uniform(0.0, 3.0))
            await self.cancel_flow(flow)

    async def cancel_flow(self, flow):
        """Cancel a flow until the cancellation is acknowledged."""
        while not self.is_over:
            status, _ = await self.call_entry("DELETE", f"/q/{flow.id}")
            if status == 410:
                self.violations.append(f"{flow.id}: accepted, but unknown to a cancellation")
            if status in (200, 410):
                flow.cancelled_at = steady()
                return
            await sleep(0.3)

    async def read_states(self):
        """Read states of random flows; an accepted one must be known."""
        while not self.is_over:
            await sleep(0.5)
            accepted = [flow for flow in self.flow_by_id.values() if flow.is_accepted]
            if accepted:
                flow = self.random.choice(accepted)
                status, _ = await self.call_entry("GET", f"/q/{flow.id}")
                if status == 410:
                    self.violations.append(f"{flow.id}: accepted, but shown as unknown")

    # Workers

    async def send_heartbeats(self, number):
        """Announce a worker at intervals to any store that answers."""
        address = f"127.0.0.1:{self.forwarders[number].port}"
        while not self.is_over:
            body = self.worker_hosts[number].life.announcement(address)
            hosts = self.random.sample(HOSTS, len(HOSTS))
            for host in hosts:
                url = f"http://{host}:{self.control}/instances/i-{number}/heartbeat"
                answer = await self.ask("POST", url, json=body, timeout=1.0)
                if answer is not None and answer.status_code == 200:
                    break
            await sleep(HEARTBEAT_S)

    async def check_workers(self):
        """Check capacity and single runs from what the workers run."""
        while not self.is_over:
            runs = Counter()
            for host in self.worker_hosts:
                host.life.record_lapse()
                host.life.execute_due_starts()
            for stub in self.pool.worker_by_id.values():
                stub.end_due_runs()
                used = len(stub.running_by_task) * TASK_CPU_MILLI
                if used > CPU_MILLI:
                    self.violations.append(f"{stub.record.id}: {used} of {CPU_MILLI} cpu_milli")
                runs.update(list(stub.running_by_task))
            for task_id, count in runs.items():
                if count > 1:
                    self.violations.append(f"{task_id}: {count} runs at once")
            await sleep(CHECK_S)

    # Faults

    async def inject_faults(self, tasks):
        """Start faults in an open loop, so that they overlap."""
        tasks.start_soon(self.delay_starts)
        tasks.start_soon(self.rename_queue)
        tasks.start_soon(self.reload_in_series)
        ends_at = steady() + self.length_s
        kinds = (
            self.pause_store,
            self.kill_store,
            self.stop_store,
            self.pause_entry,
            self.kill_entry,
            self.stop_entry,
            self.reload_any,
            self.silence_worker,
            self.cut_worker,
            self.block_worker,
            self.delay_worker,
            self.restart_worker,
            self.remove_queue,
        )
        while steady() < ends_at:
            await sleep(self.random.uniform(0.3, 1.5))
            fault = self.random.choice(kinds)
            self.faults[fault.__name__] += 1
            tasks.start_soon(fault)

    async def pause_store(self):
        """Pause a store, unless another one is away."""
        await self.take_store_away(self.processes.pause, self.processes.resume, longest_s=5.0)

    async def kill_store(self):
        """Kill a store and start it again."""
        await self.take_store_away(self.processes.kill, self.restart, longest_s=3.0)

    async def stop_store(self):
        """Stop a store gracefully and start it again."""
        await self.take_store_away(self.processes.finish, self.restart, longest_s=2.0)

    async def take_store_away(self, leave, come_back, *, longest_s):
        """Take one store away for a while; do nothing if one is away."""
        if self.store_is_away:
            return
        self.store_is_away = True
        host = self.random.choice(HOSTS)
        left = leave(host)
        if hasattr(left, "__await__"):
            await left
        await sleep(self.random.uniform(0.1, longest_s))
        come_back(host)
        # A store that is back needs a moment until the others may lose one.
        await sleep(2.0)
        self.store_is_away = False

    async def pause_entry(self):
        """Pause an entry."""
        host = self.random.choice(ENTRIES)
        if self.processes.is_running(host):
            self.processes.pause(host)
            await sleep(self.random.uniform(0.1, 3.0))
            self.processes.resume(host)

    async def kill_entry(self):
        """Kill an entry and start it again."""
        host = self.random.choice(ENTRIES)
        if self.processes.is_running(host):
            self.processes.kill(host)
            await sleep(self.random.uniform(0.1, 1.0))
            if not self.processes.is_running(host):
                self.restart(host)

    async def stop_entry(self):
        """Stop an entry gracefully and start it again."""
        host = self.random.choice(ENTRIES)
        if self.processes.is_running(host):
            self.processes.resume(host)
            with suppress(AssertionError):
                await self.processes.finish(host)
            if not self.processes.is_running(host):
                self.restart(host)

    async def reload_any(self):
        """Send SIGHUP to a process."""
        host = self.random.choice((*HOSTS, *ENTRIES))
        if self.processes.is_running(host):
            self.processes.popen_by_name[host].send_signal(SIGHUP)

    async def reload_in_series(self):
        """Send SIGHUP in series to one process after the other, also while it starts or stops.

        The choices have a generator of their own, like those of the late starts.
        """
        random = Random(f"reloads {self.seed}")
        ends_at = steady() + self.length_s
        while steady() < ends_at:
            host = random.choice((*HOSTS, *ENTRIES))
            self.faults["reload_in_series"] += 1
            for _ in range(random.randint(1, 20)):
                await sleep(random.uniform(0.0, 0.1))
                # Before that, the interpreter itself is starting.
                if self.processes.handles(host, SIGHUP):
                    self.processes.popen_by_name[host].send_signal(SIGHUP)

    async def silence_worker(self):
        """Let the open connections to a worker fall silent for good."""
        self.random.choice(self.forwarders).silence()

    async def cut_worker(self):
        """Reset the connections to a worker and refuse new ones for a while."""
        forwarder = self.random.choice(self.forwarders)
        await forwarder.cut()
        await sleep(self.random.uniform(0.1, 6.0))
        forwarder.heal()

    async def block_worker(self):
        """Hold the bytes of one direction back for a while."""
        forwarder = self.random.choice(self.forwarders)
        forwarder.block(self.random.choice(("to_server", "to_client")))
        await sleep(self.random.uniform(0.1, 6.0))
        forwarder.heal()

    async def delay_worker(self):
        """Delay all bytes of a worker for a while."""
        forwarder = self.random.choice(self.forwarders)
        forwarder.delay_s = self.random.uniform(0.02, 0.4)
        await sleep(self.random.uniform(0.5, 4.0))
        forwarder.heal()

    async def restart_worker(self):
        """Let a worker crash and start again under its id; it announces itself only later."""
        number = self.random.randrange(self.worker_count)
        await self.forwarders[number].cut()
        self.worker_hosts[number].start_again()
        await sleep(self.random.uniform(0.0, 0.5))
        self.forwarders[number].heal()

    async def delay_starts(self):
        """Let one worker after the other carry out some starts late, beside the other faults.

        These choices have a generator of their own, so that they leave those of the other faults
        as they are.
        """
        random = Random(f"late starts {self.seed}")
        late_starts = LateStarts(
            seed=self.seed,
            share=LATE_START_SHARE,
            delay_s=LATE_START_DELAY_S,
            repeats=LATE_START_REPEATS,
        )
        ends_at = steady() + self.length_s
        while steady() < ends_at:
            await sleep(random.uniform(0.1, 1.5))
            life = random.choice(self.worker_hosts).life
            self.faults["delay_starts"] += 1
            life.late_starts = late_starts
            await sleep(random.uniform(1.0, 3.0))
            life.late_starts = None

    async def remove_queue(self):
        """Remove the queue from the configuration and put it back."""
        if self.queue_is_removed:
            return
        self.queue_is_removed = True
        [route] = CONFIG["routes"]
        await self.replace_config({**route, "name": "other", "pathPrefix": "/other/"})
        await sleep(self.random.uniform(0.1, 3.0))
        await self.replace_config({**route, "name": self.queue_name})
        self.queue_is_removed = False

    async def rename_queue(self):
        """Give the queue other names at the same address, also while it is removed.

        The times have a generator of their own, like those of the late starts.
        """
        random = Random(f"names {self.seed}")
        ends_at = steady() + self.length_s
        while steady() < ends_at:
            await sleep(random.uniform(0.5, 5.0))
            self.faults["rename_queue"] += 1
            self.queue_name = f"q-{self.faults['rename_queue']}"
            if not self.queue_is_removed:
                await self.replace_config({**CONFIG["routes"][0], "name": self.queue_name})

    async def replace_config(self, route):
        """Put a configuration with one queue in force."""
        self.config_version += 1
        config = {**CONFIG, "version": self.config_version, "routes": [route]}
        await self.control_call("POST", "/config/replace", json=config)

    # Verdict

    async def settle(self):
        """End all faults; wait until every flow is over; record what is not."""
        for host in (*HOSTS, *ENTRIES):
            if self.processes.is_running(host):
                self.processes.resume(host)
            else:
                self.restart(host)
        for forwarder in self.forwarders:
            forwarder.heal()
        for host in self.worker_hosts:
            host.life.late_starts = None
        lasting = [flow for flow in self.flow_by_id.values() if flow.is_lasting]
        for flow in lasting:
            if flow.is_accepted and flow.cancelled_at is None:
                await self.cancel_flow(flow)
        for flow in self.flow_by_id.values():
            if flow.is_accepted:
                expected = ("cancelled", "completed") if flow.cancelled_at else ("completed",)
                await self.wait_for_state(flow, expected)
        await self.wait_for_stops()

    async def wait_for_state(self, flow, expected):
        """Wait until a flow has one of the expected states; record it as a violation otherwise."""

        async def has_state():
            _, body = await self.call_entry("GET", f"/q/{flow.id}")
            return body.get("state") in expected

        try:
            await wait_until(has_state, flow.id, limit_s=SETTLE_S)
        except AssertionError:
            self.violations.append(f"{flow.id}: not {' or '.join(expected)}: {flow.answers}")

    async def wait_for_stops(self):
        """Wait until no task of a flow that is over runs."""

        def is_idle():
            return not any(
                host.life.worker.running_by_task or host.life.has_pending_starts
                for host in self.worker_hosts
            )

        try:
            await wait_until(is_idle, "idle", limit_s=SETTLE_S)
        except AssertionError:
            running = [
                task for stub in self.pool.worker_by_id.values() for task in stub.running_by_task
            ]
            self.violations.append(f"runs of flows that are over go on: {running}")

    def check_histories(self):
        """Check the starts that the workers have recorded."""
        events = sorted(event for life in self.lives for event in life.worker.history)
        noted = set().union(*(life.noted_runs for life in self.lives))
        done, done_for_good = set(), set()
        for _, kind, task_id, run_number in events:
            if kind == "DONE":
                done.add(task_id)
                if (task_id, run_number) in noted:
                    done_for_good.add(task_id)
            elif kind == "START" and task_id in done_for_good:
                self.violations.append(f"{task_id}: run {run_number} after its end as done")
        started = {task_id.partition(".")[0] for _, kind, task_id, _ in events if kind == "START"}
        for flow in self.flow_by_id.values():
            if flow.was_only_refused and flow.id in started:
                self.violations.append(f"{flow.id}: refused, but started: {flow.answers}")
            if not flow.is_lasting and flow.is_accepted and flow.cancelled_at is None:
                missing = flow.task_count * 2 - sum(
                    task_id.startswith(f"{flow.id}.") for task_id in done
                )
                if missing:
                    self.violations.append(f"{flow.id}: {missing} tasks have not ended as done")

    def check_processes(self):
        """Check that no process has ended by itself."""
        for host in (*HOSTS, *ENTRIES):
            if not self.processes.is_running(host):
                self.violations.append(self.processes.describe(host))

    async def serve_workers(self, stop_event, stopped):
        """Serve the workers until an event is set; set ``stopped`` then."""
        async with create_task_group() as servers:
            for host in self.worker_hosts:
                servers.start_soon(host.serve, stop_event)
        stopped.set()

    async def play(self):
        """Run load and faults, then settle and check."""
        stop_event, stopped = Event(), Event()
        limits = Limits(max_connections=None, max_keepalive_connections=20)
        async with create_task_group() as tasks, AsyncClient(limits=limits) as self.client:
            tasks.start_soon(self.serve_workers, stop_event, stopped)
            try:
                await self.play_load()
            finally:
                # A cancelled HTTP server raises errors that would hide the one of the check.
                self.is_over = True
                stop_event.set()
                await stopped.wait()

    async def play_load(self):
        """Start the processes; run load and faults, then settle and check."""
        async with create_task_group() as tasks:
            for forwarder in self.forwarders:
                tasks.start_soon(forwarder.run)
            self.start()
            await self.control_call("POST", "/config/replace", json=CONFIG)
            for number in range(self.worker_count):
                tasks.start_soon(self.send_heartbeats, number)
            tasks.start_soon(self.check_workers)
            tasks.start_soon(self.read_states)
            async with create_task_group() as load:
                load.start_soon(self.submit_flows, load)
                load.start_soon(self.inject_faults, load)
            await self.settle()
            self.check_histories()
            self.check_processes()
            tasks.cancel_scope.cancel()


def play_seed(seed, folder, *, length_s=DEFAULT_LENGTH_S):
    """Play one seed; return the :class:`SoakCell` with its violations."""

    async def main():
        with Processes(folder=folder) as processes:
            cell = SoakCell(processes=processes, seed=seed, length_s=length_s)
            with fail_after(length_s + 4 * SETTLE_S):
                await cell.play()
            return cell

    return run(main)


def main(_):
    """Play seeds one after the other; keep the logs of those that fail."""
    logging.set_verbosity(logging.WARNING)
    values = flags.FLAGS
    failed = []
    for seed in range(values.first, values.first + values.seeds):
        path = Path(values.folder) / f"soak-{seed}"
        # Stores would open the data of an earlier run, whose members had other ports.
        rmtree(path, ignore_errors=True)
        path.mkdir(parents=True)
        try:
            cell = play_seed(seed, path, length_s=values.length_s)
            violations = list(dict.fromkeys(cell.violations))
            counts = (
                f"{len(cell.flow_by_id)} flows, {sum(cell.faults.values())} faults, "
                f"{cell.late_start_count} late starts, {cell.refused_repeat_count} refused repeats"
            )
        except Exception:
            print_exc()
            violations, counts = ["the soak itself failed"], ""
        print(f"seed {seed}: {counts}: {violations[:5] or 'nothing broken'}", flush=True)
        if violations:
            failed.append(seed)
    print(f"{values.seeds} seeds, {len(failed)} with a broken promise: {failed}")


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 1, "number of seeds to play")
    flags.DEFINE_integer("first", 1, "first seed")
    flags.DEFINE_float("length_s", DEFAULT_LENGTH_S, "length of load and faults, s")
    flags.DEFINE_string("folder", "run/soak", "folder for the logs of the processes")
    app.run(main)
