"""The quotas' calls on the operators' door."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.component import AdminRequest, AdminResponse, AdminRoutes
from lupinlink.coordination.contract import Agreement, Delete, Put, Step, View
from lupinlink.errors import LupinError
from lupinlink.quota.sharing.errors import PolicyTooLargeError
from lupinlink.quota.sharing.leading import record_of
from lupinlink.quota.sharing.messages import (
    ASKS,
    DEALT,
    MOST_TEXT,
    POLICY,
    Policies,
    Text,
    read_policies,
    write_policies,
)
from lupinlink.quota.sharing.policies import Build
from lupinlink.quota.sharing.table import state
from lupinlink.quota.sharing.terms import Terms

if TYPE_CHECKING:
    from lupinlink.quota.sharing.agent import QuotaAgent

log = logging.getLogger(__name__)
SEE = "; GET /control/quota tells how far it is\n"


class Door:
    """Answers from what is known here; what it asks of the fleet goes on afterwards."""

    def __init__(
        self, agent: QuotaAgent, agreement: Agreement, clock: Clock, build: Build, terms: Terms
    ) -> None:
        self._agent, self._agreement, self._clock = agent, agreement, clock
        self._build, self._terms = build, terms
        self.last = ""  # what became of the last call that asked for something

    def admin_routes(self) -> AdminRoutes:
        """By path and method."""
        return {
            "/control/quota": {
                "GET": lambda ask: AdminResponse(200, state(self._agent, self._clock.now(), self.last))
            },
            "/control/quota/policy": {
                "GET": lambda ask: AdminResponse(200, self._agent.policies.now.settled.text),
                "PUT": self._put,
                "DELETE": self._withdraw,
            },
            "/control/quota/forget": {"PUT": self._forget},
        }

    def _put(self, ask: AdminRequest) -> AdminResponse:
        try:
            if len(ask.body) > MOST_TEXT:
                raise PolicyTooLargeError(f"the text has {len(ask.body)} bytes")
            text = ask.body.decode()
            policy = self._build(text)
        except UnicodeDecodeError as exc:
            return AdminResponse(400, f"the policy is no UTF-8: {exc}\n")
        except LupinError as error:
            return AdminResponse(400, error.line() + "\n")
        now = self._agent.policies.now
        coming = Text(policy.version, text, now.settled.holding)
        if coming.name == now.settled.name:
            return AdminResponse(200, f"{coming.name} is in force already\n")
        self._change(f"policy {coming.name}", lambda was: Policies(was.epoch + 1, was.settled, coming))
        return AdminResponse(202, f"{coming.name} is put beside {now.settled.name}{SEE}")

    def _withdraw(self, ask: AdminRequest) -> AdminResponse:
        if (coming := self._agent.policies.now.coming) is None:
            return AdminResponse(
                409, "no version is coming; one that is settled is replaced by putting another\n"
            )
        why = f"{coming.name} was withdrawn by an operator"
        self._change(
            f"withdrawal of {coming.name}", lambda was: Policies(was.epoch + 1, was.settled, None, why)
        )
        return AdminResponse(202, f"{coming.name} is withdrawn{SEE}")

    def _change(self, what: str, change: Callable[[Policies], Policies]) -> None:
        self.last = f"{what}: asked for"
        known = self._agent.policies

        def write(view: View) -> None:
            record = view.records.get(POLICY)
            was = read_policies(record.value) if record is not None else known.now
            after = change(was)
            if after.epoch <= known.now.epoch:
                after = msgspec.structs.replace(after, epoch=known.now.epoch + 1)
            put = Put(POLICY, write_policies(after), record.revision if record is not None else 0)
            self._tell(what, self._agreement.commit([put]))

        self._agreement.read(POLICY).addCallback(write).addErrback(self._failed, what)

    def _forget(self, ask: AdminRequest) -> AdminResponse:
        name = ask.query.get("name", "")
        if not name:
            return AdminResponse(400, "say which: PUT /control/quota/forget?name=NAME\n")
        what = f"forget {name}"
        self.last = f"{what}: asked for"

        def write(view: View) -> None:
            steps: list[Step] = []
            for key, record in view.records.items():
                steps += [Delete(key, record.revision), Delete(DEALT + key.removeprefix(ASKS), None)]
            if not steps:
                self.last = f"{what}: no gateway of that name has a record"
                return
            self._tell(what, self._agreement.commit(steps))

        self._agreement.read(ASKS + record_of((name, ""))).addCallback(write).addErrback(self._failed, what)
        return AdminResponse(202, f"the records of {name} are removed{SEE}")

    def _tell(self, what: str, done: object) -> None:
        from twisted.internet.defer import Deferred

        assert isinstance(done, Deferred)
        done.addCallbacks(lambda written: self._done(what), self._failed, errbackArgs=(what,))

    def _done(self, what: str) -> None:
        self.last = f"{what}: written"

    def _failed(self, failure: Failure, what: str) -> None:
        error = failure.value
        self.last = f"{what}: {error.line() if isinstance(error, LupinError) else error}"
        log.warning("a call was not carried out", extra={"kv": {"what": self.last}})
