"""HTTP client for operator calls: tries entries in turn until one gives a final answer.

>>> from siskintally.client import exit_status
>>> exit_status(1000), exit_status(2006), exit_status(3001), exit_status(4009)
(0, 3, 4, 5)
"""

from time import monotonic, sleep

from httpx import Client, ConnectError, ConnectTimeout, HTTPError, InvalidURL, PoolTimeout

from siskintally.codes import Code, not_run
from siskintally.errors import (
    BadSettingsError,
    NotLeaderError,
    OutcomeUnknownError,
    RefusedError,
    UnreachableError,
)

EXIT_DONE = 0
EXIT_USAGE = 2
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_FAILED = 5
REQUEST_ID_HEADER = "Siskintally-Request-Id"
ATTEMPT_TIMEOUT_S = 15.0
RETRY_DELAY_S = 0.3
# Codes after which a resend with the same request id may have another result. All others are final.
RETRIED_CODES = (
    Code.NO_ENDPOINT,
    Code.DRAINING,
    Code.NOT_LEADER,
    Code.OUTCOME_UNKNOWN,
    Code.STOPPED,
)
_BAD_INPUT_CODES = (
    Code.BAD_REQUEST,
    Code.UNAUTHORIZED,
    Code.TOO_LARGE,
    Code.NOT_FOUND,
    Code.BAD_SETTINGS,
)
_NOT_SENT_ERRORS = (ConnectError, ConnectTimeout, PoolTimeout)


def exit_status(code):
    """Return the exit status of a command for a result code.

    :returns: 0: done, 2: bad input, 3: not run, 4: outcome unknown, 5: refused or failed.
    """
    if code < 2000:
        return EXIT_DONE
    if not_run(code):
        return EXIT_NOT_RUN
    if code < 4000:
        return EXIT_UNKNOWN
    return EXIT_USAGE if code in _BAD_INPUT_CODES else EXIT_FAILED


class OperatorResponse:
    """Result code and answer of an operator call.

    :param code: result code, an int.
    :param answer: dict; after a failure, its key ``message`` says why, if the entry gave a reason.
    """

    __slots__ = ("answer", "code")

    def __init__(self, *, code, answer):
        self.code = code
        self.answer = answer


class OperatorClient:
    """Calls entries in turn until one gives a final answer.

    A call whose reply was lost is sent again with the same request id, so that a change takes
    effect at most once.

    :param entries: base URLs of the entries.
    :param token: bearer token of the operator.
    :param timeout_s: timeout of a call, over all attempts.
    :param transport: httpx transport, for tests.
    """

    __slots__ = ("_client", "_entries", "_entry_index", "_timeout_s")

    def __init__(self, *, entries, token, timeout_s, transport=None):
        if not entries or not token:
            raise BadSettingsError("--entry and --token: expected both")
        self._entries = [url.rstrip("/") for url in entries]
        self._timeout_s = timeout_s
        self._entry_index = 0
        headers = {"Authorization": f"Bearer {token}"}
        # Proxy settings of the environment are ignored, because entries are addressed directly.
        self._client = Client(headers=headers, trust_env=False, transport=transport)

    def call(self, verb, arguments, *, request_id):
        """Call a verb.

        :param arguments: dict of JSON values.
        :returns: :class:`OperatorResponse`, also for a refusal.
        :raises UnreachableError: no final answer in time; the call was not run.
        :raises OutcomeUnknownError: no final answer in time; the call may have been run.
        """
        deadline = monotonic() + self._timeout_s
        may_have_run = False
        last_error = "no attempt"
        while (remaining := deadline - monotonic()) > 0:
            url = self._entries[self._entry_index % len(self._entries)]
            try:
                response = self._post(url, verb, arguments, request_id, remaining)
            except UnreachableError as error:
                last_error = str(error)
            except OutcomeUnknownError as error:
                may_have_run, last_error = True, str(error)
            else:
                if response.code not in RETRIED_CODES:
                    return response
                may_have_run = may_have_run or response.code == Code.OUTCOME_UNKNOWN
                last_error = f"{response.code} {response.answer.get('message', '')}"
            self._entry_index += 1
            sleep(min(RETRY_DELAY_S, max(0.0, deadline - monotonic())))
        if may_have_run:
            raise OutcomeUnknownError(f"{last_error}; resend with --request_id {request_id}")
        raise UnreachableError(f"not run: {last_error}")

    def _post(self, url, verb, arguments, request_id, remaining):
        timeout = min(remaining, ATTEMPT_TIMEOUT_S)
        try:
            http_response = self._client.post(
                f"{url}/v1/operator/{verb}",
                json=arguments,
                headers={REQUEST_ID_HEADER: request_id},
                timeout=timeout,
            )
        except InvalidURL as error:
            raise BadSettingsError(f"--entry = {url!r}: {error}") from error
        except _NOT_SENT_ERRORS as error:
            raise UnreachableError(f"{url}: {error}") from error
        except HTTPError as error:
            raise OutcomeUnknownError(f"{url}: {error!r}") from error
        return _parse_response(url, http_response)

    def close(self):
        """Close the HTTP connections."""
        self._client.close()


def _parse_response(url, http_response):
    try:
        fields = http_response.json()
        code = fields["code"]
        answer = fields.get("answer")
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise OutcomeUnknownError(
            f"{url}: HTTP status {http_response.status_code} without a result code"
        ) from error
    if not isinstance(answer, dict):
        answer = {"message": str(fields.get("message", ""))}
    return OperatorResponse(code=int(code), answer=answer)


def require_success(response):
    """Return the answer of a call that succeeded.

    :raises NotLeaderError: the result code is NOT_LEADER.
    :raises RefusedError: the call failed; has the result code of the call.
    """
    if response.code < 2000:
        return response.answer
    try:
        code = Code(response.code)
    except ValueError:
        code = Code.INTERNAL
    if code == Code.NOT_LEADER:
        raise NotLeaderError(response.answer.get("message", ""))
    message = response.answer.get("message", "refused")
    raise RefusedError(message, code=code)
