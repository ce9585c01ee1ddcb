"""A release over real agents, the agreement in memory and a virtual clock: every fault it must meet."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from lupinlink.lab.agreed_fleet import Place
from lupinlink.release.known import Known
from lupinlink.release.records import Stand, State
from tests.release_fleet import ALLOWED, Fleet, any_in, ended, halted, later_wave, plan_of


def gone(places: Iterable[Place]) -> bool:
    return any(place.host is None for place in places)


class Faults(unittest.TestCase):
    """Each test causes its fault in the middle of a release, and sees it through."""

    def fleet(self) -> Fleet:
        fleet = Fleet()
        fleet.begin()
        return fleet

    def whole(self, fleet: Fleet, version: str = "2", most: int = ALLOWED, trips: int = 1) -> None:
        """The release has ended: everybody serves at that version, nobody went out twice or too many."""
        self.assertEqual(fleet.versions(), {version})
        self.assertEqual(fleet.out(), [])
        self.assertLessEqual(max(fleet.trips().values()), trips, fleet.drains)
        self.assertLessEqual(fleet.out_most, most)
        fleet.until(lambda known: not known.permits.proxies.held, 30.0)

    def through(self, fleet: Fleet) -> Known:
        """Go on after each halt, as an operator would who has looked."""
        for _ in range(4):
            known = fleet.until(lambda known: ended(known) or halted(known))
            if ended(known):
                return known
            fleet.run(20.0)
            fleet.call("PUT", "/control/release/go-on")
            fleet.run(5.0)
        self.fail(fleet.call("GET", "/control/release").text)

    def test_lead_is_killed_in_each_state_and_the_release_goes_on(self) -> None:
        states = ("permitted", "draining", "out", "back")
        for state in states:
            with self.subTest(state=state):
                fleet = self.fleet()
                fleet.until(later_wave)
                if state == "out":
                    places = fleet.places
                    fleet.until(lambda known, places=places: gone(places.values()))  # type: ignore[misc]
                else:
                    fleet.until(any_in(State(state)))
                lead = fleet.lead()
                fleet.kill(lead)
                fleet.again(lead)
                self.assertIs(plan_of(self.through(fleet)).stand, Stand.DONE)
                self.whole(fleet, most=ALLOWED + 1)
                self.assertEqual(fleet.fences, sorted(fleet.fences))

    def test_lead_that_stood_still_over_its_lease_writes_nothing_more(self) -> None:
        fleet = self.fleet()
        fleet.until(any_in(State.DRAINING))
        lead = fleet.lead()
        old = fleet.fences[-1]
        fleet.stop(lead, True)
        fleet.until(lambda known: plan_of(known).fence > old)
        count = len(fleet.fences)
        fleet.stop(lead, False)
        fleet.run(10.0)
        self.assertNotIn(old, fleet.fences[count:])
        self.through(fleet)
        self.whole(fleet, most=ALLOWED + 1)

    def test_member_that_stood_still_with_a_permit_begins_only_on_one_that_stands(self) -> None:
        fleet = self.fleet()
        known = fleet.until(any_in(State.PERMITTED), every=0.001)
        name = next(n for n, p in plan_of(known).members.items() if p.state is State.PERMITTED)
        place = fleet.places[name]
        fleet.stop(place, True)
        fleet.until(lambda known: name not in known.permits.proxies.held, 60.0)  # withdrawn: it did not begin
        drains = len(fleet.drains)
        fleet.stop(place, False)
        fleet.run(0.5)
        self.assertEqual(len(fleet.drains), drains)
        self.through(fleet)
        self.whole(fleet)

    def test_member_killed_with_its_permit_comes_back_by_it(self) -> None:
        for state in (State.PERMITTED, State.DRAINING):
            with self.subTest(state=state.value):
                fleet = self.fleet()
                known = fleet.until(any_in(state))
                name = next(n for n, p in plan_of(known).members.items() if p.state is state)
                fleet.kill(fleet.places[name])
                fleet.again(fleet.places[name])
                self.through(fleet)
                self.whole(fleet)

    def test_agreement_gone_halts_whoever_leads_then_and_nobody_goes_meanwhile(self) -> None:
        for lead_dies in (False, True):
            with self.subTest(lead_dies=lead_dies):
                fleet = self.fleet()
                fleet.until(later_wave)
                fleet.service.reachable = False
                fleet.service.changed()
                fleet.run(5.0)
                if lead_dies:
                    lead = next(p for p in fleet.places.values() if p.name == fleet.known().permits.lead)
                    fleet.kill(lead)
                    fleet.again(lead)
                drains = len(fleet.drains)
                fleet.run(25.0)
                self.assertEqual(len(fleet.drains), drains)
                fleet.service.reachable = True
                known = fleet.until(halted, 60.0)
                self.assertIn("not heard", known.halt.why)
                self.through(fleet)
                self.whole(fleet, most=ALLOWED + lead_dies)

    def test_service_restored_to_an_older_state_sends_nobody_twice(self) -> None:
        fleet = self.fleet()
        fleet.until(any_in(State.PERMITTED))
        saved = fleet.service.save()
        fleet.until(lambda known: plan_of(known).wave > 1 and any_in(State.DRAINING)(known))
        fleet.call("PUT", "/control/release/halt", why="look")
        fleet.until(halted)
        fleet.service.restore(saved)
        fleet.until(halted, 30.0)  # somebody remembers it
        fleet.run(30.0)
        self.assertTrue(fleet.known().halt.stands)
        self.through(fleet)
        self.whole(fleet)

    def test_third_cut_off_halts_and_goes_on_when_it_is_back(self) -> None:
        fleet = self.fleet()
        fleet.until(any_in(State.DRAINING))
        cut = [p for p in fleet.places.values() if p is not fleet.lead()][-3:]
        for place in cut:
            assert place.transport is not None
            place.transport.cut = True
        fleet.service.changed()
        known = fleet.until(halted, 60.0)
        self.assertIn("out without a permit", known.halt.why)
        self.assertLessEqual(set(known.permits.proxies.without), {place.name for place in cut})
        for place in cut:
            assert place.transport is not None
            place.transport.cut = False
        self.through(fleet)
        self.whole(fleet)

    def test_seven_in_ten_killed_at_once_hold_every_further_permit(self) -> None:
        fleet = self.fleet()
        fleet.until(any_in(State.DRAINING))
        for place in list(fleet.places.values())[3:]:
            fleet.kill(place)
        fleet.run(20.0)
        drains = len(fleet.drains)
        known = fleet.until(halted, 60.0)
        self.assertGreaterEqual(len(known.permits.proxies.without), 6)
        fleet.call("PUT", "/control/release/go-on")  # in vain while they are gone
        fleet.run(30.0)
        self.assertEqual(len(fleet.drains), drains)
        for place in fleet.places.values():
            if place.host is None:
                fleet.again(place)
        fleet.run(30.0)
        self.through(fleet)
        self.assertEqual(fleet.versions(), {"2"})

    def test_answers_lost_after_the_write_was_done(self) -> None:
        fleet = self.fleet()
        for state in (State.PERMITTED, State.DRAINING, State.BACK):
            fleet.until(any_in(state))
            for place in fleet.places.values():
                assert place.transport is not None
                place.transport.lost_responses = 1
        self.through(fleet)
        self.whole(fleet)
