"""A real proxy process with thousands of backends, most of them behind one listener."""

from __future__ import annotations

import json
import threading
import time
from contextlib import suppress
from typing import Any, ClassVar

from tests.drain_discovery import SharedDiscovery
from tests.drain_fleet import Backend, FleetProcessTest, Member, Receipt
from tests.loopback_servers import chunk, row
from tests.open_load import OpenLoad

MANY_BACKENDS = 3200
PER_SECOND = 60.0  # requests at one process


class ManyBackendsStage(FleetProcessTest):
    """The few backends of the fleet tests, and many more that share one listener."""

    backends_listed: ClassVar[int] = MANY_BACKENDS
    peers: ClassVar[int] = 6

    def setUp(self) -> None:
        super().setUp()
        self.shared_backend = self.peer(self.shared_listener())
        more = self.backends_listed - len(self.rows)
        self.rows += [self.more_row(number) for number in range(more)]
        self.shared = self.peer(SharedDiscovery(self.rows))

    def shared_listener(self) -> Backend:
        return Backend()

    def more_row(self, number: int) -> dict[str, Any]:
        """The row of one of the many backends."""
        return row(f"s-many-{number:04d}", self.shared_backend, pod_group=number % 40)

    def start_process(self) -> Member:
        """Start a proxy, and wait until it has a watch and serves."""
        frontend = self.shared.frontend()
        member = self.spawn("n0", frontend)
        self.await_serving(member)
        frontend.watching.get(timeout=30.0)
        until = time.monotonic() + 30.0
        while not self.answered_once(member):
            self.assertLess(time.monotonic(), until)
        return member

    @staticmethod
    def answered_once(member: Member) -> bool:
        probe = OpenLoad(member.port, 10.0, leavers=0.0, seed=int(time.monotonic() * 1000))
        probe.play(0.1)
        return probe.statuses()[200] > 0

    def receipts(self) -> list[Receipt]:
        backends = [self.shared_backend, *self.backends.values()]
        return [receipt for backend in backends for receipt in list(backend.receipts)]

    def load(self, member: Member, seconds: float, **more: float) -> OpenLoad:
        """Run the load, and assert that no request was lost."""
        load = OpenLoad(member.port, **{"per_second": PER_SECOND, **more})  # type: ignore[arg-type]
        load.play(seconds)
        self.process, self.log = member.process, member.log
        print(f"longest iteration of the event loop: {self.gauges()['longest_turn_ever_ms']} ms")
        self.assert_none_lost(load)
        return load

    def assert_none_lost(self, load: OpenLoad) -> None:
        unanswered, late = load.unanswered(), load.sent_on_too_late(self.receipts())
        seen = f"{len(unanswered)} of {len(load.sent)} without an answer, {late=}, {load.statuses()}"
        self.assertTrue(not unanswered and not late, seen)

    def send_whole_lists(
        self, seconds: float, per_second: float, indent: int | None = None
    ) -> threading.Thread:
        """Send the whole list on each watch ``per_second`` times a second, in a thread, for ``seconds``."""

        def write() -> None:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                with self.shared.lock:
                    self.shared.rev += 1
                    data = chunk(json.dumps(self.shared.full_list(), indent=indent) + "\n")
                    for frontend in self.shared.frontends:
                        for connection in list(frontend.watches):
                            with suppress(OSError):
                                connection.sendall(data)
                            frontend.watches[connection] = self.shared.rev
                time.sleep(1.0 / per_second)

        thread = threading.Thread(target=write, daemon=True)
        thread.start()
        return thread
