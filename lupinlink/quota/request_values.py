"""Extracts from requests the parsed addresses and the values that limits count by."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache
from ipaddress import IPv6Address
from operator import attrgetter
from socket import AF_INET, AF_INET6, inet_pton

from lupinlink.quota.model import Limit, Network, QuotaRequest

CACHE_SIZE = 8192  # addresses


@lru_cache(CACHE_SIZE)
def parse_address(address: str) -> tuple[int, int]:
    """IP version and number of an address; version 0 if it is invalid. IPv4-mapped IPv6 counts as IPv4.

    The C library's parser takes a tenth of the time of ``ipaddress``, which matters because clients choose
    the addresses.
    """
    try:
        if ":" not in address:
            return 4, int.from_bytes(inet_pton(AF_INET, address), "big")
        number = int.from_bytes(inet_pton(AF_INET6, address.partition("%")[0]), "big")
        return (4, number & 0xFFFFFFFF) if number >> 32 == 0xFFFF else (6, number)
    except (OSError, ValueError):
        return 0, 0


@lru_cache(CACHE_SIZE)
def network_of(address: str, bits: int, bits6: int) -> str:
    """The network with the given prefix length (IPv4, IPv6) as text; empty for an invalid address."""
    version, number = parse_address(address)
    if version == 4:
        number = number >> (32 - bits) << (32 - bits)
        return f"{number >> 24}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}/{bits}"
    if version == 6:
        return f"{IPv6Address(number >> (128 - bits6) << (128 - bits6))}/{bits6}"
    return ""


class AddressRanges:
    """A set of networks. Membership takes one lookup per prefix length, however many networks there are."""

    def __init__(self, networks: Iterable[Network]) -> None:
        tables: dict[tuple[int, int], set[int]] = {}
        for network in networks:
            shift = network.max_prefixlen - network.prefixlen
            number = int(network.network_address) >> shift
            tables.setdefault((network.version, shift), set()).add(number)
        self._tables = [(version, shift, frozenset(found)) for (version, shift), found in tables.items()]

    def __contains__(self, address: str) -> bool:
        version, number = parse_address(address)
        for family, shift, found in self._tables:  # noqa: SIM110 - a generator doubles the time
            if family == version and number >> shift in found:
                return True
        return False


def value_getter(limit: Limit) -> Callable[[QuotaRequest], str] | None:
    """A function that returns a request's value for the limit; None if it counts by no field."""
    bits, bits6 = limit.by_ipv4_bits, limit.by_ipv6_bits
    found: dict[str, Callable[[QuotaRequest], str]] = {
        "class": attrgetter("class_name"),
        "tenant": attrgetter("tenant"),
        "zone": attrgetter("zone"),
        "key": attrgetter("key"),
        "address": lambda request: network_of(request.address, bits, bits6),
    }
    return found.get(limit.by)
