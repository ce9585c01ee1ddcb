"""The client factory for the connection of one call to discovery."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lupinlink.net.twisted_types import Connector

if TYPE_CHECKING:
    from lupinlink.net.watch import Watch


class WatchFactory(ClientFactory):
    """Connects one watch; a factory serves one connection only."""

    noisy = False

    def __init__(self, watch: Watch) -> None:
        self._watch = watch

    def buildProtocol(self, addr: object) -> Watch:
        return self._watch

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        self._watch.end("no connection")
