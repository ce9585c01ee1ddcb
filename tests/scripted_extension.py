"""A proxy with a fleet extension controlled by requests and management calls; run as a program by the tests.

A request's ``X-Quota`` is the Retry-After in milliseconds to refuse it with, or ``broken``. For
``/control/fleet``, GET returns the host's state as JSON, PUT performs the action ``do`` (``names``: servers
to withhold), and POST returns its body's length, last byte and query.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from dataclasses import asdict
from functools import partial

from lupinlink.commands.input_errors import report_input_error
from lupinlink.coordination.component import AdminRequest, AdminResponse, AdminRoutes
from lupinlink.net.fleet_extension import ExtensionHost, Refusal
from lupinlink.net.proxy import ClientRequest
from lupinlink.net.service import serve
from lupinlink.settings import SettingsError, load_config


class ScriptedExtension:
    """Implements FleetExtension."""

    def __init__(self) -> None:
        self._host: ExtensionHost | None = None
        self._admission_checks: list[str] = []
        self._finished: list[str] = []

    def started(self, host: ExtensionHost) -> None:
        self._host = host

    def stopping(self) -> None:
        assert self._host is not None
        print(f"msg=stopping-told ends_soon={self._host.ends_soon}", file=sys.stderr, flush=True)

    def admin_routes(self) -> AdminRoutes:
        return {"/control/fleet": {"GET": self._show, "PUT": self._act, "POST": self._echo}}

    def admits(self, call: ClientRequest) -> Refusal | None:
        self._admission_checks.append(call.identity)
        quota = next((value for name, value in call.headers if name == "X-Quota"), None)
        if quota == "broken":
            raise RuntimeError("the quota's fault")
        return Refusal(float(quota)) if quota is not None else None

    @property
    def settled(self) -> Callable[[ClientRequest], None]:
        return lambda call: self._finished.append(f"{call.identity} {call.address}")

    def _show(self, ask: AdminRequest) -> AdminResponse:
        host = self._host
        assert host is not None
        shown = {
            **asdict(host.gauges()), "name": host.name, "stand": host.state.value, "drained": host.drained,
            "ready": host.ready, "ends_soon": host.ends_soon, "uses": dict(host.utilization()),
            "outcomes": host.outcomes(), "held": sorted(host.busy_servers()),
            "servers": host.servers(), "asked": self._admission_checks, "settled": self._finished,
        }  # fmt: skip
        return AdminResponse(200, json.dumps(shown))

    def _act(self, ask: AdminRequest) -> AdminResponse:
        host = self._host
        assert host is not None
        action = ask.query.get("do", "")
        if action == "drain":
            host.drain()
        elif action == "in-service":
            return AdminResponse(200 if host.in_service() else 409, "in service\n")
        elif action == "end":
            host.end()
        elif action == "withhold":
            host.withhold(frozenset(ask.query["names"].split()))
        else:
            return AdminResponse(422, f"do: {action!r} is none of drain, in-service, end, withhold")
        return AdminResponse(202, f"{action}\n")

    def _echo(self, ask: AdminRequest) -> AdminResponse:
        return AdminResponse(200, f"{len(ask.body)} {ask.body[-1:].decode()} {dict(ask.query)}\n")


if __name__ == "__main__":
    try:
        sys.exit(
            serve(
                load_config(os.environ, None),
                partial(load_config, os.environ, None, reload=True),
                ScriptedExtension(),
            )
        )
    except SettingsError as exc:
        sys.exit(report_input_error(exc))
