"""What a request's fields are to a policy: numbers of addresses, and the values that a limit counts by."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache
from ipaddress import IPv4Address, IPv6Address, ip_address

from lupinlink.quota.model import Asked, Limit, Network

REMEMBERED = 8192  # addresses whose parsing is remembered


@lru_cache(REMEMBERED)
def parsed(address: str) -> tuple[int, int]:
    """IP version and number of an address; version 0: it is none. One of IPv4 within IPv6 counts as IPv4."""
    try:
        found: IPv4Address | IPv6Address = ip_address(address)
    except ValueError:
        return 0, 0
    if isinstance(found, IPv6Address) and found.ipv4_mapped is not None:
        found = found.ipv4_mapped
    return found.version, int(found)


@lru_cache(REMEMBERED)
def network_of(address: str, bits: int, bits6: int) -> str:
    """The network of so many bits (of IPv4, of IPv6) that an address is in, as text; as it is if none."""
    version, number = parsed(address)
    if version == 4:
        return f"{IPv4Address(number >> (32 - bits) << (32 - bits))}/{bits}"
    if version == 6:
        return f"{IPv6Address(number >> (128 - bits6) << (128 - bits6))}/{bits6}"
    return ""


class Ranges:
    """Whether an address is in one of many ranges: one look a length of range, whatever their number."""

    def __init__(self, networks: Iterable[Network]) -> None:
        tables: dict[tuple[int, int], set[int]] = {}
        for network in networks:
            shift = network.max_prefixlen - network.prefixlen
            number = int(network.network_address) >> shift
            tables.setdefault((network.version, shift), set()).add(number)
        self._tables = [(version, shift, frozenset(found)) for (version, shift), found in tables.items()]

    def __contains__(self, address: str) -> bool:
        version, number = parsed(address)
        return any(number >> shift in found for of, shift, found in self._tables if of == version)


def value_of(limit: Limit) -> Callable[[Asked], str] | None:
    """What finds a request's own value for a limit; None: it does not count by a field."""
    bits, bits6 = limit.by_bits, limit.by_bits6
    found: dict[str, Callable[[Asked], str]] = {
        "class": lambda asked: asked.class_name,
        "tenant": lambda asked: asked.tenant,
        "zone": lambda asked: asked.zone,
        "key": lambda asked: asked.key,
        "address": lambda asked: network_of(asked.address, bits, bits6),
    }
    return found.get(limit.by)
