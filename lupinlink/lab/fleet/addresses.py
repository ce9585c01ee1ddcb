"""Who is found where on loopback, and what a cut drops. Pure.

Each proxy listens at an address of its own, 127.(10 + zone).a.b, and finds every machine at another one that
is kept for it alone, 127.(100 + zone).a.b: a listener sees by the address that was asked for whose path a
connection takes, and one comparison of bits covers a whole zone's paths.
"""

from __future__ import annotations

from collections.abc import Iterable

LISTEN, PATH = 10, 100  # second octet, plus the zone
ROW = 250  # proxies that share a third octet
MOST_ZONES, MOST_PROXIES = 64, 1000
DESTINATION = 0xFFF00000 + 16  # SKF_NET_OFF and the place of the destination in an IPv4 head
EVERYTHING, NOTHING = 0xFFFFFFFF, 0

Instruction = tuple[int, int, int, int]  # code, jump if true, jump if false, constant: linux/filter.h


def listens(zone: int, proxy: int) -> str:
    """Where a proxy listens."""
    return _address(LISTEN + zone, proxy)


def finds(zone: int, proxy: int) -> str:
    """The address at which a proxy finds every other machine, by port."""
    return _address(PATH + zone, proxy)


def whose(address: str) -> int:
    """The proxy that an address of either kind is kept for."""
    _, _, row, place = map(int, address.split("."))
    return (row - 1) * ROW + place - 1


def _address(octet: int, proxy: int) -> str:
    return f"127.{octet}.{1 + proxy // ROW}.{1 + proxy % ROW}"


def drops(zones: Iterable[int] | None) -> list[Instruction]:
    """A classic BPF program that drops what comes on the paths of these zones' proxies; None: all of it.

    It is met by the first packet of a new connection at the listener, which then never comes up (McCanne and
    Jacobson, "The BSD Packet Filter", 1993; Linux's socket filters).
    """
    if zones is None:
        return [(0x06, 0, 0, NOTHING)]
    program: list[Instruction] = []
    for zone in sorted(zones):
        network = 127 << 24 | (PATH + zone) << 16
        program += [
            (0x20, 0, 0, DESTINATION),  # load the destination
            (0x54, 0, 0, 0xFFFF0000),  # and its first two octets
            (0x15, 0, 1, network),  # past the next one unless they are these
            (0x06, 0, 0, NOTHING),
        ]
    return [*program, (0x06, 0, 0, EVERYTHING)]


def drops_of(clients: Iterable[str] | None) -> list[Instruction]:
    """The same for single addresses: what comes from one of them or goes to it is dropped; None: all."""
    if clients is None:
        return [(0x06, 0, 0, NOTHING)]
    program: list[Instruction] = []
    numbers = [int.from_bytes(bytes(map(int, client.split(".")))) for client in clients]
    for at in (DESTINATION, DESTINATION - 4):
        program.append((0x20, 0, 0, at))
        for number in numbers:
            program += [(0x15, 0, 1, number), (0x06, 0, 0, NOTHING)]
    return [*program, (0x06, 0, 0, EVERYTHING)]
