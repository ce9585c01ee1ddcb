"""The times of the calls to discovery, all derived here from the protocol and the settings.

The protocol counts a change of the list as told at the latest ``TOLD_MS`` after discovery had it and could be
reached, whatever call failed. So the longest chain without a fresh list has to be shorter than that:

    a call is accepted and never answered   ``answer_ms``
    then the wait before the next call      ``wait_most_ms``
    then the call that delivers             ``ANSWER_MS``

``failed_call_chain_ms`` adds it up, and ``silent_watch_chain_ms`` does so for a watch that falls silent and
is followed by a call whose connection never comes up. Longer chains (several calls in a row that are accepted
and fail) cannot be ruled out: from ``hold_after_ms`` on the list is then not relied on. A process that was
started anew relies on no list until discovery has told: what its former life was told counts for it as well,
and the list that it starts with may be older than that. A node of the simulator has no former life.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lupinlink.settings import Settings

NOTIFIED_AFTER_MS = 6000.0  # protocol: what discovery has counts as told after this time
ANSWER_MS = 2000.0  # protocol: a call is answered within this time, or fails
HEARTBEAT_MS = 2000.0  # protocol: a watch on which nothing changes brings an empty line this often
PAUSE_MS = 150.0  # protocol: a process may be held up for so long between its clock and its write
ENDED_TOLD_MS = 300.0  # measured: the soonest after a watch's end at which news in its place counted as told
GRACE_MS = 250.0  # protocol: requests may go to a backend for so long after its going counts as told
MOVED_MS = 4000.0  # protocol: where lists are pushed, what a new agent has counts so long after SIGHUP
LATE_MS = 200.0  # machine: scheduling, the network's way and timers that fire a tick late, beyond a pause
SILENCE_SLACK_MS = 600.0  # machine: so late may an empty line come before its watch is taken for broken
REDIAL_MS = 750.0  # neither: a connection comes up in milliseconds; one so late gets another beside it
AGENT_REDIAL_MS = 150.0  # protocol: a local agent answers at once, and its news counts at once
AGENT_ANSWER_MS = 450.0  # so a call is given up when three were made after it
AGENT_WAIT_MS = 200.0  # the same, after a connection that ended; a quarter to three quarters of it
AGENT_QUIET_MS = 100.0  # an answer of an agent that brings nothing for so long has nothing to bring
WAIT_MS = 500.0  # neither: discovery takes some calls a second; how many is not told
WAIT_MOST_MS = 2000.0  # the wait doubles up to this; less in a small fleet, whose calls crowd nobody out
CROWDED_WAIT_MS = 5000.0  # after several late failures: the longest share of it, and a call, fit in 6 s
WAIT_SHARES = (0.25, 0.75)  # the share of it that is waited is drawn, so that processes keep apart
AWAY_CALLS_LEAST = 2  # neither: one that failed is a single failure
NEW_NODE_MS = 3150.0  # simulator: a node that has heard nothing for so long since its start waits for news
PROMPT_MS = 500.0  # machine: a discovery that nothing ails has answered a call by then
START_MS = 1000.0  # machine: a local agent has answered a process that starts by then
MAX_HOLD_MS = 12000.0  # neither: four calls that fail late, one after the other, with the waits between
CALL_SPACE_MS = 125.0  # neither: between the calls of all processes, while the pace of discovery is not known
FIRST_CALL_LEAST_MS = 1000.0  # machine: processes that start together do so within about this time
FIRST_CALL_MOST_MS = 2650.0  # neither: requests wait for its answer, but calls at once crowd each other out
FIRST_CALL_SHARE = 0.4  # of the asking time, where that is shorter


@dataclass(slots=True, frozen=True)
class DiscoveryTimes:
    """What one process goes by; milliseconds."""

    silence_timeout_ms: float  # a watch that shows no sign of life for so long is broken
    unchanged_after_ms: float  # an answer that has brought nothing for so long has nothing to bring
    answer_timeout_ms: float  # a call is given up so long after its connection came up, or was begun
    late_call_after_ms: float  # so long may a call wait before another one is made beside it
    parallel_call_after_ms: (
        float  # so long after a call that has brought nothing yet another one is made beside it
    )
    outage_calls: int  # so many calls in a row that were taken and brought nothing: discovery is down
    initial_backoff_ms: float  # before the next call, at first; doubled with each failure
    max_backoff_ms: float  # and at most
    overload_max_backoff_ms: float  # and at most after several late failures in a row
    outage_max_backoff_ms: float  # and at most once discovery is taken for down
    first_call_spread_ms: float  # the first calls of all processes that start together are spread over this
    hold_after_ms: float  # without news for so long, the list is no longer relied on
    start_hold_after_ms: float  # the same for a node that was told nothing since its start
    move_hold_after_ms: float  # and after a move to another discovery
    pending_hold_after_ms: (
        float  # a call's answer may be lost: so long after its request, no longer relied on
    )
    max_hold_ms: float  # and so long at most: then discovery cannot tell, and what is known has to serve
    hold_extension_ms: float  # by so much longer where good heads came meanwhile

    @classmethod
    def of(cls, settings: Settings) -> DiscoveryTimes:
        """The times under these settings."""
        return cls._asked(settings) if settings.subscribe else cls._pushed()

    @classmethod
    def _asked(cls, settings: Settings) -> DiscoveryTimes:
        asking_ms = settings.must_ask_ms
        hold_after_ms = min(NOTIFIED_AFTER_MS, asking_ms) - PAUSE_MS - LATE_MS
        span_ms = max(FIRST_CALL_LEAST_MS, CALL_SPACE_MS * settings.peers)
        first_call_spread_ms = min(span_ms, FIRST_CALL_MOST_MS, FIRST_CALL_SHARE * asking_ms)
        spaced_ms = max(2 * WAIT_MS, 2 * CALL_SPACE_MS * settings.peers)
        parallel_call_after_ms = max(ANSWER_MS / 2, CALL_SPACE_MS * settings.peers)
        return cls(
            silence_timeout_ms=HEARTBEAT_MS + SILENCE_SLACK_MS,
            unchanged_after_ms=HEARTBEAT_MS + LATE_MS,
            answer_timeout_ms=ANSWER_MS + LATE_MS,
            late_call_after_ms=REDIAL_MS,
            parallel_call_after_ms=parallel_call_after_ms,
            outage_calls=max(
                AWAY_CALLS_LEAST, 1 + int((NOTIFIED_AFTER_MS - ANSWER_MS) / parallel_call_after_ms)
            ),
            initial_backoff_ms=WAIT_MS,
            max_backoff_ms=min(spaced_ms, WAIT_MOST_MS, asking_ms / 2),
            overload_max_backoff_ms=min(spaced_ms, CROWDED_WAIT_MS, asking_ms / 2),
            outage_max_backoff_ms=min(CROWDED_WAIT_MS, asking_ms / 2),
            first_call_spread_ms=first_call_spread_ms,
            hold_after_ms=hold_after_ms,
            start_hold_after_ms=min(first_call_spread_ms + PROMPT_MS, NEW_NODE_MS, hold_after_ms),
            move_hold_after_ms=hold_after_ms,
            pending_hold_after_ms=GRACE_MS - PAUSE_MS,
            max_hold_ms=MAX_HOLD_MS,
            hold_extension_ms=MAX_HOLD_MS,
        )

    @classmethod
    def _pushed(cls) -> DiscoveryTimes:
        """A local agent: it costs nothing to ask, and what it has counts at once."""
        return cls(
            silence_timeout_ms=HEARTBEAT_MS + SILENCE_SLACK_MS,
            unchanged_after_ms=AGENT_QUIET_MS,
            answer_timeout_ms=AGENT_ANSWER_MS,
            late_call_after_ms=AGENT_REDIAL_MS,
            parallel_call_after_ms=AGENT_REDIAL_MS,
            outage_calls=1 + int(START_MS / AGENT_REDIAL_MS),  # no fewer than while requests are held
            initial_backoff_ms=AGENT_WAIT_MS,
            max_backoff_ms=AGENT_WAIT_MS,
            overload_max_backoff_ms=AGENT_WAIT_MS,
            outage_max_backoff_ms=AGENT_WAIT_MS,
            first_call_spread_ms=0.0,
            hold_after_ms=NOTIFIED_AFTER_MS - PAUSE_MS - LATE_MS,
            start_hold_after_ms=NOTIFIED_AFTER_MS - PAUSE_MS - LATE_MS,
            move_hold_after_ms=MOVED_MS - PAUSE_MS - LATE_MS,
            pending_hold_after_ms=math.inf,  # what an agent has counts whether or not it was written
            max_hold_ms=START_MS,
            hold_extension_ms=0.0,
        )

    def failed_call_chain_ms(self) -> float:
        """From discovery's return to its news: a call without an answer, the wait, the call that delivers."""
        return self.answer_timeout_ms + WAIT_SHARES[1] * self.max_backoff_ms + ANSWER_MS

    def silent_watch_chain_ms(self) -> float:
        """From a watch's last sign of life to the news: a dial that never comes up, another beside it."""
        return self.silence_timeout_ms + self.late_call_after_ms + ANSWER_MS
