"""The stand-in agreement service answers as Consul's public pages say, and fails as it is told to."""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import subprocess
import sys
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from tests.proxy_process import ROOT, WAIT

TTL_S = 0.3


def text(value: str) -> str:
    return base64.b64encode(value.encode()).decode()


class Caller:
    """One client, told by its address."""

    def __init__(self, ports: dict[str, int], address: str = "127.0.0.7") -> None:
        self._ports, self._address = ports, address
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(local_addr=(address, 0)))

    async def __call__(self, method: str, path: str, body: Any = b"", control: bool = False) -> Any:
        """Status, headers' index and what the body says."""
        port = self._ports["control" if control else "port"]
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with self.session.request(method, f"http://127.0.0.1:{port}{path}", data=data) as answer:
            raw = await answer.read()
            found = json.loads(raw) if raw and "json" in answer.content_type else raw
            return answer.status, int(answer.headers.get("X-Consul-Index", 0)), found

    async def somebody_waits(self) -> None:
        while not (await self("GET", "/_stand_in/records", control=True))[2]["waiting"]:
            pass

    async def play(self, kind: str, **more: Any) -> None:
        status, _, said = await self("PUT", "/_stand_in/fault", {"kind": kind, **more}, control=True)
        assert status == 200, said


class Served(unittest.TestCase):
    process: subprocess.Popen[str]
    ports: dict[str, int]
    second = "127.0.0.8"

    @classmethod
    def setUpClass(cls) -> None:
        cls.process = subprocess.Popen(
            [sys.executable, "-m", "lupinlink.lab.fleet.consul", f"--ttl-floor={TTL_S}"],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert cls.process.stdout is not None
        cls.ports = json.loads(cls.process.stdout.readline())

    @classmethod
    def tearDownClass(cls) -> None:
        assert cls.process.stdin is not None and cls.process.stdout is not None
        cls.process.stdin.close()
        code = cls.process.wait(WAIT)
        cls.process.stdout.close()
        assert code == 0, "it does not end with its standard input"

    def play(self, story: Callable[[Caller, Caller], Awaitable[None]]) -> None:
        async def run() -> None:
            one, two = Caller(self.ports), Caller(self.ports, self.second)
            try:
                await one("DELETE", "/v1/kv/?recurse")
                await asyncio.wait_for(story(one, two), WAIT)
            finally:
                await one.session.close()
                await two.session.close()

        asyncio.run(run())

    def test_a_record_has_its_indexes_and_a_wait_ends_with_its_change(self) -> None:
        async def story(one: Caller, two: Caller) -> None:
            status, empty, _ = await one("GET", "/v1/kv/a/?recurse")
            self.assertEqual(status, 404)
            self.assertGreater(empty, 0)
            self.assertEqual(await one("PUT", "/v1/kv/a/x?cas=0", b"1"), (200, 0, True))
            self.assertEqual((await one("PUT", "/v1/kv/a/x?cas=0", b"2"))[2], False)
            _, index, ((row),) = await one("GET", "/v1/kv/a?recurse")
            self.assertEqual((row["Key"], row["Value"], row["ModifyIndex"]), ("a/x", text("1"), index))
            wait = asyncio.create_task(two("GET", f"/v1/kv/a?recurse&index={index}&wait=20s"))
            await one.somebody_waits()
            await one("PUT", "/v1/kv/b", b"elsewhere")
            self.assertFalse(wait.done())
            await one("PUT", f"/v1/kv/a/x?cas={index}", b"3")
            _, later, (row,) = await wait
            self.assertEqual((row["Value"], row["CreateIndex"]), (text("3"), index))
            self.assertGreater(later, index)
            self.assertEqual((await one("GET", "/v1/kv/a/x?raw"))[2], b"3")
            # A wait that nothing ends is over soon after its time, with the same index.
            self.assertEqual((await one("GET", f"/v1/kv/a/x?index={later}&wait=10ms"))[1], later)
            await one("DELETE", "/v1/kv/a?recurse")
            status, gone, _ = await one("GET", f"/v1/kv/a?recurse&index={later}")
            self.assertEqual((status, gone > later), (404, True))

        self.play(story)

    def test_a_transaction_is_done_whole_or_not_at_all(self) -> None:
        def kv(verb: str, key: str, **more: Any) -> dict[str, Any]:
            return {"KV": {"Verb": verb, "Key": key, **more}}

        async def story(one: Caller, _: Caller) -> None:
            first = [
                kv("set", "x", Value=text("1")),
                kv("cas", "y", Index=0, Value=text("2")),
                kv("get", "x"),
            ]
            status, _, found = await one("PUT", "/v1/txn", first)
            rows = [result["KV"] for result in found["Results"]]
            self.assertEqual([row["Value"] for row in rows], [None, None, text("1")])
            self.assertEqual((status, len({row["ModifyIndex"] for row in rows})), (200, 1))
            second = [kv("set", "x", Value=text("9")), kv("check-not-exists", "y"), kv("delete", "y"),
                      kv("check-index", "x", Index=1)]  # fmt: skip
            status, _, found = await one("PUT", "/v1/txn", second)
            self.assertEqual((status, [e["OpIndex"] for e in found["Errors"]]), (409, [1, 3]))
            self.assertEqual((await one("GET", "/v1/kv/?keys"))[2], ["x", "y"])
            self.assertEqual((await one("GET", "/v1/kv/x?raw"))[2], b"1")
            many = [kv("get", "x")] * 65
            self.assertEqual((await one("PUT", "/v1/txn", many))[0], 413)

        self.play(story)

    def test_a_session_ends_late_lets_go_and_its_lock_is_delayed(self) -> None:
        async def story(one: Caller, two: Caller) -> None:
            new = {"TTL": f"{TTL_S}s", "LockDelay": "200ms"}
            _, _, held = await one("PUT", "/v1/session/create", new)
            _, _, other = await two("PUT", "/v1/session/create", {"TTL": "20s"})
            self.assertEqual((await one("PUT", "/v1/session/create", {"TTL": "1ms"}))[0], 400)
            self.assertEqual((await one("PUT", f"/v1/kv/lead?acquire={held['ID']}", b"one"))[2], True)
            self.assertEqual((await two("PUT", f"/v1/kv/lead?acquire={other['ID']}", b"two"))[2], False)
            _, index, (row,) = await two("GET", "/v1/kv/lead")
            self.assertEqual((row["Session"], row["LockIndex"]), (held["ID"], 1))
            began = asyncio.get_running_loop().time()
            self.assertEqual((await one("PUT", f"/v1/session/renew/{held['ID']}"))[0], 200)
            _, _, (row,) = await two("GET", f"/v1/kv/lead?index={index}&wait=10s")
            span = asyncio.get_running_loop().time() - began
            self.assertNotIn("Session", row)
            self.assertTrue(TTL_S <= span <= 2.0 * TTL_S + 0.5, span)
            self.assertEqual((await one("PUT", f"/v1/session/renew/{held['ID']}"))[0], 404)
            self.assertEqual((await two("PUT", f"/v1/kv/lead?acquire={other['ID']}", b"two"))[2], False)
            while not (await two("PUT", f"/v1/kv/lead?acquire={other['ID']}", b"two"))[2]:
                pass
            self.assertEqual((await two("GET", "/v1/kv/lead"))[2][0]["LockIndex"], 2)
            self.assertEqual((await one("PUT", f"/v1/kv/lead?acquire={held['ID']}"))[0], 500)

        self.play(story)

    def put_once(self, path: str, body: bytes) -> None:
        """aiohttp's client would ask again by itself."""
        source = ("127.0.0.7", 0)
        connection = http.client.HTTPConnection("127.0.0.1", self.ports["port"], WAIT, source)
        self.addCleanup(connection.close)
        connection.request("PUT", path, body)
        connection.getresponse()

    def test_faults_meet_whom_they_are_for(self) -> None:
        async def story(one: Caller, two: Caller) -> None:
            await one.play("lose_answers", clients=["127.0.0.7"], count=1)
            with self.assertRaises(http.client.RemoteDisconnected):
                await asyncio.to_thread(self.put_once, "/v1/kv/x?cas=0", b"1")
            self.assertEqual((await two("GET", "/v1/kv/x?raw"))[2], b"1")  # it was done
            self.assertEqual((await one("PUT", "/v1/kv/x", b"2"))[2], True)
            for kind in ("hang", "cut"):
                await one.play(kind, clients=["127.0.0.7"])
                asked = asyncio.create_task(asyncio.to_thread(self.put_once, "/v1/kv/x", b"3"))
                self.assertEqual((await two("GET", "/v1/kv/x?raw"))[2], b"2")
                self.assertFalse(asked.done())
                await one.play(kind, on=False)
                (ended,) = await asyncio.gather(asked, return_exceptions=True)
                # A call that was held in silence is not done; one dropped before it came up is, after a cut.
                self.assertEqual(ended is None, (await two("GET", "/v1/kv/x?raw"))[2] == b"3")
                await two("PUT", "/v1/kv/x", b"2")
            await one.play("too_many", clients=["127.0.0.8"])
            self.assertEqual([(await c("GET", "/v1/kv/x"))[0] for c in (one, two)], [200, 429])
            await one.play("too_many", on=False)
            await one.play("stale")
            await one("PUT", "/v1/kv/x", b"4")
            self.assertNotEqual((await one("GET", "/v1/kv/x?raw&stale"))[2], b"4")
            self.assertEqual((await one("GET", "/v1/kv/x?raw"))[2], b"4")
            _, index, _ = await one("GET", "/v1/kv/x")
            waits = asyncio.create_task(two("GET", f"/v1/kv/x?index={index}&wait=1m"))
            await one.somebody_waits()
            await one.play("no_leader")
            self.assertEqual((await waits)[0], 500)
            self.assertEqual((await one("PUT", "/v1/kv/x", b"5"))[0], 500)
            await one.play("no_leader", on=False)
            await one("PUT", "/_stand_in/restart?ms=1", control=True)
            self.assertEqual((await one("GET", "/v1/kv/x?raw"))[2], b"4")

        self.play(story)

    def test_a_restore_takes_the_index_back_and_calls_are_counted(self) -> None:
        self.second = "127.0.0.9"  # nobody else's calls are counted with these

        async def story(one: Caller, two: Caller) -> None:
            await one("PUT", "/v1/kv/x", b"1")
            _, saved, _ = await one("GET", "/v1/kv/x")
            await one("PUT", "/_stand_in/save", control=True)
            await one("PUT", "/v1/kv/x", b"2")
            _, index, _ = await one("GET", "/v1/kv/x")
            wait = asyncio.create_task(two("GET", f"/v1/kv/x?index={index}&wait=1m"))
            await one.somebody_waits()
            await one("PUT", "/_stand_in/restore", control=True)
            status, back, _ = await wait
            self.assertEqual((status, back), (200, saved))
            self.assertLess(back, index)
            rows = (await one("GET", "/_stand_in/count?client=127.0.0.9", control=True))[2]
            self.assertEqual({(row["kind"], row["calls"]) for row in rows}, {("kv_wait", 1)})

        self.play(story)
