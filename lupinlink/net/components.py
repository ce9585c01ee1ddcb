"""Builds the components of one proxy process and connects them."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from lupinlink.interface import ListTrust, ListTrustChanged
from lupinlink.limits.memory_account import MemoryAccount
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.clients import Clients
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_client import DiscoveryClient
from lupinlink.net.handover.capacity import Capacity
from lupinlink.net.lifecycle import LIST_WAIT_MS, Lifecycle
from lupinlink.net.proxy import Proxy
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Reactor
from lupinlink.settings import Config


@dataclass(eq=False, repr=False)
class Components:
    """The components, from the clock up to clients; each depends only on those before it."""

    reactor: Reactor
    clock: ReactorClock
    counters: Counters
    account: MemoryAccount  # of what peers make the process hold
    lifecycle: Lifecycle
    servers: ApplicationServers
    discovery_client: DiscoveryClient
    proxy: Proxy
    clients: Clients


def build(config: Config, reactor: Reactor, capacity: Capacity) -> Components:
    """Build all components; none of them listens or connects yet."""
    counters, clock, settings = Counters(), ReactorClock(reactor), config.settings
    account = MemoryAccount()
    lifecycle = Lifecycle(max(cls.deadline_ms for cls in settings.classes))
    servers = ApplicationServers(reactor, clock, settings, capacity.servers, counters, account)
    discovery_client = DiscoveryClient(reactor, clock, config.discovery, settings, servers, counters)
    proxy = Proxy(settings, config.seed, clock, servers, discovery_client.call, counters)
    proxy.account = account
    discovery_client.on_event = proxy.handle_soon
    proxy.on_trust_changed = partial(_trust_changed, discovery_client, lifecycle)
    clock.after(LIST_WAIT_MS, lifecycle.settle_list)
    servers.read_pending_updates = discovery_client.read_pending_updates
    servers.list_is_held = proxy.list_is_held
    clients = Clients(
        proxy,
        discovery_client,
        clock,
        settings,
        lifecycle,
        capacity.clients,
        capacity.spare_mb,
        counters,
        account,
    )
    return Components(reactor, clock, counters, account, lifecycle, servers, discovery_client, proxy, clients)


def _trust_changed(discovery_client: DiscoveryClient, lifecycle: Lifecycle, change: ListTrustChanged) -> None:
    """Log the change, and stop waiting for the list of backends once requests are no longer held for it."""
    discovery_client.log_trust(change)
    if change.trust is not ListTrust.HELD:
        lifecycle.settle_list()
