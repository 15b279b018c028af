"""Run of one operator command: common flags, request id, waiting, exit status.

>>> from siskintally.operation import DEFAULT_ENTRY
>>> DEFAULT_ENTRY
'http://127.0.0.1:7101'
"""

from json import dumps
from os import environ
from sys import stderr
from time import monotonic, sleep
from uuid import uuid4

from absl.flags import DEFINE_alias, DEFINE_boolean, DEFINE_float, DEFINE_list, DEFINE_string

from siskintally.audit import record_hash
from siskintally.cell_state_pb2 import AuditRecord
from siskintally.client import OperatorClient, exit_status, require_success
from siskintally.codes import Code
from siskintally.errors import DamagedDataError, OutcomeUnknownError, SiskintallyError

DEFAULT_ENTRY = "http://127.0.0.1:7101"
TOKEN_VARIABLE = "SISKINTALLY_TOKEN"
POLL_INTERVAL_S = 1.0
ENDED_STATES = ("succeeded", "failed", "cancelled", "never")
# Job ids per poll; the arguments of a call are limited to 1 MiB.
MAX_JOBS_PER_POLL = 5000


def define_common(values):
    """Add the flags that all operator commands share."""
    DEFINE_list("entry", [DEFAULT_ENTRY], "URLs of entries, tried in turn", flag_values=values)
    DEFINE_string(
        "token", None, f"operator token; the default is ${TOKEN_VARIABLE}", flag_values=values
    )
    DEFINE_string(
        "request_id",
        None,
        "request id of an earlier attempt, to send the same change again",
        flag_values=values,
    )
    DEFINE_alias("request-id", "request_id", flag_values=values)
    DEFINE_boolean("json", False, "print the answer as one line of JSON", flag_values=values)
    DEFINE_float(
        "timeout_s", 30.0, "timeout of a call over all attempts, s", 0.1, 3600.0, flag_values=values
    )
    DEFINE_boolean("wait", False, "wait until the change has taken effect", flag_values=values)
    DEFINE_float(
        "wait_s", 600.0, "longest time to wait with --wait, s", 0.0, 1e7, flag_values=values
    )


class Operation:
    """One run of an operator command.

    :param client: :class:`~siskintally.client.OperatorClient`.
    :param request_id: request id of the change that the command makes.
    :param json: whether to print the answer as JSON instead of text.
    :param wait: whether to wait until the change has taken effect.
    :param wait_s: longest time to wait, seconds.
    """

    __slots__ = ("_client", "_last_progress", "_remaining_wait_s", "_request_id", "json", "wait")

    def __init__(self, *, client, request_id, json, wait, wait_s):
        self._client = client
        self._request_id = request_id
        self._remaining_wait_s = wait_s
        self._last_progress = None
        self.json = json
        self.wait = wait

    @classmethod
    def run(cls, values, arguments, start):
        """Run a command and return its exit status.

        :param start: ``start(operation, values, arguments)`` returns the answer.
        """
        code, answer = Code.DONE, None
        try:
            client = OperatorClient(
                entries=values.entry,
                token=values.token or environ.get(TOKEN_VARIABLE, ""),
                timeout_s=values.timeout_s,
            )
            operation = cls(
                client=client,
                request_id=values.request_id or uuid4().hex,
                json=values.json,
                wait=values.wait,
                wait_s=values.wait_s,
            )
            answer = start(operation, values, arguments)
        except SiskintallyError as error:
            code, answer = error.code, {"message": str(error)}
            print(f"{int(code)} {code.name}: {error}", file=stderr)
        if values.json:
            print(dumps({"code": int(code), "answer": answer}))
        return exit_status(code)

    def call(self, verb, arguments):
        """Make a change and return the answer; print the request id, for use in a resend.

        :raises SiskintallyError: the call was refused, was not run, or its outcome is unknown.
        """
        print(f"request id {self._request_id}", file=stderr)
        return require_success(self._client.call(verb, arguments, request_id=self._request_id))

    def read(self, verb, arguments):
        """Call a verb that makes no change and return the answer."""
        return require_success(self._client.call(verb, arguments, request_id=uuid4().hex))

    def wait_jobs(self, jobs, prefix=""):
        """Wait until jobs have ended or, for services, until all tasks run; print progress.

        :param jobs: job ids.
        :param prefix: also wait for the jobs whose id starts with this, if it is not empty.
        :raises OutcomeUnknownError: the longest wait is over.
        """
        job_ids = list(jobs)
        while True:
            rows = []
            for start in range(0, len(job_ids), MAX_JOBS_PER_POLL):
                query = {
                    "jobs": job_ids[start : start + MAX_JOBS_PER_POLL],
                    "limit": MAX_JOBS_PER_POLL,
                }
                rows += self.read("jobs", query)["jobs"]
            if prefix:
                rows += self.read("jobs", {"prefix": prefix, "limit": MAX_JOBS_PER_POLL})["jobs"]
            rows = [row for row in rows if not _is_settled(row)]
            if not rows:
                return
            counts = ", ".join(f"{name} {sum(row[name] for row in rows)}" for name in _COUNT_KEYS)
            reasons = sorted({row["reason"] for row in rows if row["reason"]})
            self._report_progress(f"{len(rows)} jobs: {counts} {'; '.join(reasons[:3])}")
            job_ids = [row["job"] for row in rows]
            prefix = ""

    def wait_config(self, version):
        """Wait until each domain group in service has committed a configuration version.

        :raises OutcomeUnknownError: the longest wait is over.
        """
        while True:
            status = self.read("status", {})
            rows = [row for row in status["groups"] if row["standing"] == "in service"]
            behind = [row["group"] for row in rows if not row["config_current"]]
            if status["version"] > version or not behind:
                return
            self._report_progress(f"version {version} not yet in {', '.join(behind)}")

    def _report_progress(self, text):
        """Print progress if it has changed, then sleep.

        :raises OutcomeUnknownError: the longest wait is over.
        """
        if self._remaining_wait_s <= 0:
            raise OutcomeUnknownError(f"wait timed out: {text}")
        started = monotonic()
        if text != self._last_progress:
            print(text.rstrip(), file=stderr)
            self._last_progress = text
        sleep(min(POLL_INTERVAL_S, self._remaining_wait_s))
        self._remaining_wait_s -= max(monotonic() - started, POLL_INTERVAL_S)

    def check_audit_chain(self, answer):
        """Check the hashes of audit records and the result of the check of the audit file.

        :raises DamagedDataError: a hash does not match, or the file is damaged.
        """
        previous = None
        for row in answer["rows"]:
            record = AuditRecord(**row)
            if record_hash(record) != record.hash or previous not in (None, record.previous):
                raise DamagedDataError(f"audit record {record.number}: hash does not match")
            previous = record.hash
        damage = answer.get("file", {}).get("damage")
        if damage:
            raise DamagedDataError(f"audit file of {answer['file']['store']}: {damage}")


_COUNT_KEYS = ("waiting", "running", "succeeded", "failed", "cancelled")


def _is_settled(row):
    if row["state"] in ENDED_STATES:
        return True
    return row["kind"] == "service" and row["running"] >= row["tasks"]
