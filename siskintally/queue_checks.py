"""Validation of a queue configuration: services, timeouts, prefixes, and duplicates.

>>> from siskintally.control_pb2 import Queue, QueueDocument, WorkerService
>>> from siskintally.queue_checks import check_document
>>> queue = Queue(name="q", host="h", prefix="/q/", service="s", timeout_ms=10)
>>> check_document(QueueDocument(version=1, queues=[queue], services=[WorkerService(name="s")]))
"""

from siskintally.errors import BadRequestError


def check_document(document):
    """Check the queues of a configuration.

    :raises BadRequestError: a queue is invalid; the message says which and why.
    """
    services = {service.name for service in document.services}
    routes = set()
    names = set()
    for queue in document.queues:
        if queue.service not in services:
            raise BadRequestError(f"queue {queue.name!r}: unknown service {queue.service!r}")
        if not queue.timeout_ms:
            raise BadRequestError(f"queue {queue.name!r}: timeout must not be 0")
        if not queue.prefix.startswith("/"):
            raise BadRequestError(
                f"queue {queue.name!r}: prefix {queue.prefix!r} must start with a slash"
            )
        route = (queue.host, queue.prefix)
        if route in routes or queue.name in names:
            raise BadRequestError(f"queue {queue.name!r}: duplicate name or host and prefix")
        routes.add(route)
        names.add(queue.name)
