"""Endpoints must authenticate with the token of their service."""

from anyio import run

from tests.entry_net import running_network
from tests.processes import wait_until

TOKENS = """
[[endpoint]]
service = "seat-count"
token = "token-of-seat-count"
[[endpoint]]
service = "price-watch"
token = "token-of-price-watch"
"""


def test_endpoint_needs_the_token_of_its_service(tmp_path):
    """Guards against requests sent to any process that announces itself under a service's name."""

    async def main():
        async with running_network(tmp_path, extra=TOKENS) as net:
            net.start_stub("p1", "--token", "token-of-seat-count")
            net.start_stub("p2", "--log_level", "info", "--token", "token-of-price-watch")
            net.start_stub("p3", "--log_level", "info")
            await net.wait_serving("e1")
            for name in ("p2", "p3"):
                await wait_until(lambda: "401" in net.processes.log_text(name), f"{name} refused")  # noqa: B023
            assert (await net.health("e1"))["endpoints"] == 1
            url = f"{net.url_by_name['e1']}/v1/announce"
            fields = {"name": "p4", "service": "seat-count", "domain": "jylland-a"}
            fields |= {"url": "http://127.0.0.1:1", "slots": 8, "connections": 64}
            fields |= {"incarnation": 1, "seq": 1, "state": "serving"}
            response = await net.client.post(url, json=fields)
            assert (response.status_code, response.headers["siskintally-code"]) == (401, "4001")
            headers = {"authorization": "Bearer token-of-seat-count"}
            response = await net.client.post(url, json=fields, headers=headers)
            assert response.status_code == 200

    run(main)
