"""Memory (bytes) and processor time (microseconds) of the ledger for each record.

Usage: python -m bench.ledger_memory [records]
"""

from sys import argv
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from siskintally.ledger import RETENTION_S, Ledger
from siskintally.wire_pb2 import LedgerBegin, LedgerFinish, StoredAnswer

RECORDS = 100_000
ANSWER = StoredAnswer(status=201, content_type="application/json", body=b"x" * 100, body_kept=True)


def fill(ledger, records):
    """Begin and finish orders that are spread evenly over the retention time of 24 h.

    :returns: CPU time, seconds.
    """
    started = process_time()
    for number in range(records):
        now = number * RETENTION_S / records
        key, attempt = f"dk/order-{number}", f"entry-1-{number}"
        ledger.begin(LedgerBegin(key=key, caller="shop", digest=b"d" * 32, attempt=attempt), now)
        ledger.finish(LedgerFinish(key=key, attempt=attempt, answer=ANSWER), now)
    return process_time() - started


def main(records):
    """Print the bytes and the CPU time for each record."""
    cpu_s = fill(Ledger(), records)
    start()
    ledger = Ledger()
    fill(ledger, records)
    used = get_traced_memory()[0]
    stop()
    print(f"records {records}, {cpu_s / records * 1e6:.1f} us CPU for begin and finish")
    print(
        f"{used / records:.0f} bytes a record, {ledger.answer_bytes / records:.0f} of them answer"
    )


if __name__ == "__main__":
    main(int(argv[1]) if len(argv) > 1 else RECORDS)
