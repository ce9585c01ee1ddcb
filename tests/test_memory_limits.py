"""Incident 693c92: hundreds of clients at once that make a real process hold memory, beside sound ones.

The process is started by the deploy file, with the least memory that the pages name unless said otherwise.
"""

from __future__ import annotations

import unittest

from tests.memory_crowds import CLIENT_SHARE, Play

LEAST_MB, SOCKETS, SECONDS = 32.0, 1024, 5.0


class MemoryLimits(unittest.TestCase):
    def judge(self, kind: str, memory_mb: float = LEAST_MB, sockets: int = SOCKETS) -> None:
        """A crowd of this kind: the process stays within its limit, and answers sound clients."""
        seen = Play(memory_mb, sockets).run(kind, int(sockets * CLIENT_SHARE), SECONDS)
        self.assertEqual(seen.faults(), [], seen)

    # Guards against: bodies that stop half way add up past the memory limit.
    def test_large_bodies_that_stop_half_way(self) -> None:
        self.judge("half")

    # Guards against: bodies for servers that read nothing add up past the memory limit.
    def test_large_bodies_for_servers_that_read_nothing(self) -> None:
        self.judge("unread")

    # Guards against: parts of heads of very many short fields add up past the memory limit.
    def test_heads_of_very_many_short_fields(self) -> None:
        self.judge("heads")

    # Guards against: open requests of many fields add up past the memory limit.
    def test_requests_of_many_fields_to_servers_that_answer_late(self) -> None:
        self.judge("fields")

    # Guards against: long answers that are read slowly add up past the memory limit.
    def test_long_answers_that_are_read_slowly(self) -> None:
        self.judge("read")

    # Guards against: the same with the fewest descriptors that the pages name.
    def test_long_answers_with_few_descriptors(self) -> None:
        self.judge("read", sockets=256)

    # Guards against: the same with more memory and more clients.
    def test_long_answers_with_more_memory(self) -> None:
        self.judge("read", memory_mb=48.0, sockets=2048)

    # Guards against: answers that are sent whole and not read add up past the memory limit.
    def test_answers_that_are_not_read_with_further_requests_behind_them(self) -> None:
        self.judge("ahead")

    # Guards against: answers that are sent whole and read slowly add up past the memory limit.
    def test_small_answers_that_are_read_slowly(self) -> None:
        self.judge("small")

    # Guards against: bodies in tiny chunks, written slowly, add up past the memory limit.
    def test_bodies_in_tiny_chunks(self) -> None:
        self.judge("slow")

    # Guards against: bodies at full speed add up past the memory limit.
    def test_large_bodies_at_full_speed(self) -> None:
        self.judge("push")

    # Guards against: all kinds of clients together pass the memory limit.
    def test_all_kinds_of_clients_together(self) -> None:
        self.judge("mixed")
        self.judge("mixed", memory_mb=192.0)
