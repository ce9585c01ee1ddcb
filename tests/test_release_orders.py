"""Orders at the door, drains by permit, the way back and servers, over real agents on a virtual clock."""

from __future__ import annotations

import unittest

from lupinlink.coordination.component import AdminRequest
from lupinlink.release.presence import Listed
from lupinlink.release.records import Stand, State
from tests.release_fleet import ALLOWED, Fleet, any_in, ended, halted, later_wave, plan_of

DOOR = "/control/release"


class Orders(unittest.TestCase):
    """What operators ask for, and what they read."""

    def test_a_gate_that_fails_halts_after_one_and_the_way_back_ends_at_the_old_version(self) -> None:
        fleet = Fleet()
        fleet.bad["2"] = 0.2
        fleet.begin()
        known = fleet.until(halted)
        self.assertIn("served in time: new 80", known.halt.why)
        self.assertEqual(sum(fleet.trips().values()), 1)
        self.assertIn("HALTED", fleet.call("GET", DOOR).text)
        self.assertEqual(fleet.call("PUT", DOOR + "/back").status, 202)
        known = fleet.until(ended)
        self.assertIs(plan_of(known).stand, Stand.RETURNED)
        self.assertEqual((fleet.versions(), fleet.out(), sum(fleet.trips().values())), ({"1"}, [], 2))

    def test_a_gate_without_samples_is_not_passed(self) -> None:
        fleet = Fleet(least_samples=100_000)
        fleet.begin()
        known = fleet.until(halted)
        self.assertIn("cannot be read", known.halt.why)
        self.assertEqual(fleet.call("PUT", DOOR + "/go-on", accept="1").status, 202)
        fleet.until(later_wave, 30.0)

    def test_way_back_from_the_middle_of_a_wave_while_the_new_version_cannot_be_reached(self) -> None:
        fleet = Fleet()
        fleet.begin()
        fleet.until(later_wave)
        fleet.broken.add("2")  # those that are back break as well
        fleet.until(halted, 120.0)
        self.assertEqual(fleet.call("PUT", DOOR + "/back").status, 202)
        for _ in range(3):
            fleet.run(20.0)
            for place in fleet.places.values():
                if place.host is not None and not place.host.ready():
                    fleet.kill(place)
                    fleet.again(place)  # a supervisor that starts what it is told to, over and over
        known = fleet.until(ended)
        self.assertIs(plan_of(known).stand, Stand.RETURNED)
        self.assertEqual((fleet.versions(), fleet.out()), ({"1"}, []))

    def test_a_halt_outlives_all_processes_and_is_lifted_by_its_number_only(self) -> None:
        fleet = Fleet()
        fleet.begin()
        fleet.until(later_wave)
        fleet.call("PUT", DOOR + "/halt", why="night")
        number = fleet.until(halted).halt.number
        for place in fleet.places.values():
            fleet.kill(place)
            fleet.again(place)
        fleet.run(60.0)
        self.assertTrue(fleet.known().halt.stands)
        self.assertIn("night", fleet.call("GET", DOOR).text)
        early = fleet.call("PUT", DOOR + "/go-on", halt=str(number - 1))
        self.assertEqual((early.status, early.text[:5]), (409, "LL205"))
        self.assertEqual(fleet.call("PUT", DOOR + "/go-on", halt=str(number)).status, 202)
        fleet.until(lambda known: not known.halt.stands, 5.0)

    def test_contrary_orders_given_at_once_leave_the_halt_standing(self) -> None:
        fleet = Fleet()
        fleet.begin()
        fleet.until(any_in(State.DRAINING))
        fleet.call("PUT", DOOR + "/halt", why="first")
        fleet.until(halted)
        fleet.run(5.0)
        places = list(fleet.places.values())[-2:]
        for place, path in zip(places, ("/go-on", "/halt"), strict=True):
            assert place.agent is not None
            place.agent.admin_routes()[DOOR + path]["PUT"](AdminRequest())
        fleet.run(5.0)
        drains = len(fleet.drains)
        fleet.call("PUT", DOOR + "/halt", why="second")
        fleet.until(lambda known: known.halt.stands, 5.0)
        fleet.run(30.0)
        self.assertLessEqual(len(fleet.drains) - drains, 1)

    def test_one_release_at_a_time_and_none_under_a_halt(self) -> None:
        fleet = Fleet()
        fleet.call("PUT", DOOR + "/halt")
        fleet.until(halted)
        fleet.run(5.0)
        self.assertEqual(fleet.call("PUT", DOOR + "/start", version="2").text[:5], "LL202")
        fleet.call("PUT", DOOR + "/go-on")
        fleet.run(5.0)
        fleet.begin()
        fleet.until(any_in(State.PERMITTED))
        fleet.run(3.0)
        self.assertEqual(fleet.call("PUT", DOOR + "/start", version="3").text[:5], "LL203")
        self.assertEqual(fleet.call("PUT", DOOR + "/start").status, 400)
        self.assertEqual(fleet.call("PUT", DOOR + "/start", versoin="3").text[:5], "LL211")

    def drain(self, fleet: Fleet, name: str, **query: str) -> int:
        agent = fleet.places[name].agent
        assert agent is not None
        return agent.drains()["/control/out-of-service"]["PUT"](AdminRequest(query)).status

    def test_operators_drains_share_the_bound_and_a_release_leaves_them_alone(self) -> None:
        fleet = Fleet()
        for name in ("n9", "n8", "n7"):
            self.assertEqual(self.drain(fleet, name), 202)
        fleet.run(20.0)
        outs = fleet.known().permits.proxies
        self.assertEqual((len(outs.held), len(outs.waiting)), (ALLOWED, 1))
        self.assertIn("2 out, 2 may be", next(iter(outs.waiting.values())))
        fleet.begin()
        fleet.run(20.0)
        waiting = next(iter(fleet.known().permits.proxies.waiting))
        first, second = sorted({"n7", "n8", "n9"} - {waiting})
        for name in (waiting, first):
            agent = fleet.places[name].agent
            assert agent is not None
            agent.drains()["/control/in-service"]["PUT"](AdminRequest())
        through = (State.BACK, State.JUDGED)
        known = fleet.until(
            lambda k: k.plan is not None and sum(p.state in through for p in k.plan.members.values()) == 9
        )
        self.assertEqual(plan_of(known).members[second].state, State.WAITING)
        self.assertIn("out already: drain", plan_of(known).note)
        agent = fleet.places[second].agent
        assert agent is not None
        agent.drains()["/control/in-service"]["PUT"](AdminRequest())
        fleet.until(ended)
        self.assertEqual(fleet.out_most, ALLOWED)

    def test_a_drain_without_the_service_is_refused_but_not_one_in_need(self) -> None:
        fleet = Fleet()
        fleet.service.reachable = False
        fleet.service.changed()
        fleet.run(10.0)
        self.assertEqual(self.drain(fleet, "n3"), 503)
        self.assertEqual(fleet.out(), [])
        self.assertEqual(self.drain(fleet, "n3", now="1"), 200)
        self.assertEqual(fleet.out(), ["n3"])
        fleet.service.reachable = True
        fleet.until(lambda known: "n3" in known.permits.proxies.held, 60.0)

    def test_servers_go_out_by_agreement_and_come_back_into_use(self) -> None:
        fleet = Fleet()
        fleet.servers = {f"s{i}": Listed(f"s{i}", "z0", True, "1") for i in range(8)}
        fleet.run(10.0)
        self.assertEqual(fleet.call("PUT", DOOR + "/start", kind="servers").status, 202)
        most, done = 0, set[str]()
        for _ in range(400):
            fleet.run(1.0)
            known = fleet.known()
            if known.plan is None:
                continue
            withheld = [p.host.withheld for p in fleet.places.values() if p.host is not None]
            most = max(most, *(len(held) for held in withheld))
            for name, placed in known.plan.members.items():
                if placed.state is State.OUT and name not in done:
                    self.assertTrue(all(name in held for held in withheld))
                    done.add(name)
                    fleet.servers[name] = Listed(name, "z0", False, "1")
                elif name in done and not fleet.servers[name].in_service:
                    fleet.servers[name] = Listed(name, "z0", True, "2")
            if known.plan.ended:
                break
        self.assertEqual((done, most), (set(fleet.servers), 2))
        fleet.run(15.0)
        self.assertTrue(all(not p.host.withheld for p in fleet.places.values() if p.host is not None))
