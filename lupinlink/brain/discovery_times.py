"""The times of the calls to discovery, all derived here from the protocol and the settings.

By the protocol a change of the list counts as notified at the latest ``NOTIFIED_AFTER_MS`` after discovery
had it and was reachable, whichever call failed. So the longest chain without a fresh list has to be shorter:

    a call is accepted and never answered   ``answer_timeout_ms``
    then the backoff before the next call   ``max_backoff_ms``
    then the call that returns the list     ``ANSWER_MS``

``failed_call_chain_ms`` is that sum, and ``silent_watch_chain_ms`` the one for a watch that falls silent and
is followed by a call whose connection never comes up. Longer chains, as of several calls in a row that are
accepted and fail, cannot be ruled out: after ``hold_after_ms`` the list is not trusted any more. A new
process trusts no list until discovery has sent one: it is bound by what the previous process was notified of,
and the list that it starts with may be older than that. A node of the simulator has no previous process.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lupinlink.settings import Settings

# The values up to MOVE_NOTIFIED_MS are given by the protocol, except for ENDED_NOTIFIED_MS, which is what
# discovery was seen to do.
NOTIFIED_AFTER_MS = 6000.0  # a change that discovery has counts as notified after this time
ANSWER_MS = 2000.0  # a call is answered within this time, or fails
HEARTBEAT_MS = 2000.0  # a watch without changes brings an empty line this often
PAUSE_MS = 150.0  # a process may be held up this long between reading its clock and writing
ENDED_NOTIFIED_MS = 300.0  # a change that discovery met by ending the watch counts no sooner after the end
DRAIN_GRACE_MS = 250.0  # a backend may get requests this long after its removal counts as notified
MOVE_NOTIFIED_MS = 4000.0  # where lists are pushed, a new agent's changes count this long after SIGHUP
SCHEDULING_SLACK_MS = 200.0  # scheduling, network delay and timers that fire late, beyond a pause
SILENCE_SLACK_MS = 600.0  # an empty line may be this late before its watch counts as broken
LATE_CALL_MS = 750.0  # connections come up in milliseconds; a call this late gets another one in parallel
AGENT_LATE_CALL_MS = 150.0  # a local agent answers at once, and its changes count at once
AGENT_ANSWER_MS = 450.0  # so a call is given up when three were made after it
AGENT_BACKOFF_MS = 200.0  # the same, after a connection that ended; a quarter to three quarters of it
AGENT_UNCHANGED_MS = 100.0  # an agent whose answer brings nothing for this long has no changes
INITIAL_BACKOFF_MS = 500.0  # discovery serves some calls a second; its limit is unknown
MAX_BACKOFF_MS = 2000.0  # less in a small fleet, whose calls do not overload discovery
OVERLOAD_MAX_BACKOFF_MS = 5000.0  # after several late failures; with jitter, it and a call fit in 6 s
BACKOFF_JITTER = (0.25, 0.75)  # range of the random factor on a backoff, which keeps processes apart
MIN_OUTAGE_CALLS = 2  # a single failed call is an isolated failure
START_HOLD_MS = 3150.0  # simulator: without a notification this long after its start a node holds requests
PROMPT_ANSWER_MS = 500.0  # a healthy discovery has answered a call by then
AGENT_START_MS = 1000.0  # a local agent has answered a process that starts by then
MAX_HOLD_MS = 12000.0  # four calls in sequence that fail late, with the backoffs between them
CALL_SPACING_MS = 125.0  # between the calls of all processes, as discovery's capacity is unknown
MIN_FIRST_CALL_SPREAD_MS = 1000.0  # processes that start together do so within about this time
MAX_FIRST_CALL_SPREAD_MS = 2650.0  # requests wait for the answer, but calls at once overload discovery
FIRST_CALL_SPREAD_SHARE = 0.4  # of the time within which a node must ask, where that is shorter


@dataclass(slots=True, frozen=True)
class DiscoveryTimes:
    """The times of one process, in milliseconds."""

    silence_timeout_ms: float  # a watch without any data for this long is broken
    unchanged_after_ms: float  # an answer that brings nothing for this long has no changes
    answer_timeout_ms: float  # a call is given up this long after it began or its connection came up
    late_call_after_ms: float  # how long a call may wait before another one is made in parallel
    parallel_call_after_ms: float  # how long after a call without result another one is made
    outage_calls: int  # so many consecutive calls accepted without result show an outage
    initial_backoff_ms: float  # before the next call; doubled with each failure
    max_backoff_ms: float
    overload_max_backoff_ms: float  # after several late failures in a row
    outage_max_backoff_ms: float  # during an outage
    first_call_spread_ms: float  # range for the first calls of processes that start together
    hold_after_ms: float  # how long the list is trusted without confirmation
    start_hold_after_ms: float  # the same for a node that was notified of nothing since its start
    move_hold_after_ms: float  # the same after discovery has moved
    pending_hold_after_ms: float  # the same after the request of a call whose answer may be lost
    max_hold_ms: float  # longest hold: after it discovery cannot answer, and the known list is used
    hold_extension_ms: float  # added to it where valid response heads came meanwhile

    @classmethod
    def of(cls, settings: Settings) -> DiscoveryTimes:
        """The times under these settings."""
        return cls._for_calls(settings) if settings.subscribe else cls._for_local_agent()

    @classmethod
    def _for_calls(cls, settings: Settings) -> DiscoveryTimes:
        must_ask_ms = settings.must_ask_ms
        hold_after_ms = min(NOTIFIED_AFTER_MS, must_ask_ms) - PAUSE_MS - SCHEDULING_SLACK_MS
        spread_ms = max(MIN_FIRST_CALL_SPREAD_MS, CALL_SPACING_MS * settings.peers)
        first_call_spread_ms = min(spread_ms, MAX_FIRST_CALL_SPREAD_MS, FIRST_CALL_SPREAD_SHARE * must_ask_ms)
        spaced_backoff_ms = max(2 * INITIAL_BACKOFF_MS, 2 * CALL_SPACING_MS * settings.peers)
        parallel_call_after_ms = max(ANSWER_MS / 2, CALL_SPACING_MS * settings.peers)
        return cls(
            silence_timeout_ms=HEARTBEAT_MS + SILENCE_SLACK_MS,
            unchanged_after_ms=HEARTBEAT_MS + SCHEDULING_SLACK_MS,
            answer_timeout_ms=ANSWER_MS + SCHEDULING_SLACK_MS,
            late_call_after_ms=LATE_CALL_MS,
            parallel_call_after_ms=parallel_call_after_ms,
            outage_calls=max(
                MIN_OUTAGE_CALLS, 1 + int((NOTIFIED_AFTER_MS - ANSWER_MS) / parallel_call_after_ms)
            ),
            initial_backoff_ms=INITIAL_BACKOFF_MS,
            max_backoff_ms=min(spaced_backoff_ms, MAX_BACKOFF_MS, must_ask_ms / 2),
            overload_max_backoff_ms=min(spaced_backoff_ms, OVERLOAD_MAX_BACKOFF_MS, must_ask_ms / 2),
            outage_max_backoff_ms=min(OVERLOAD_MAX_BACKOFF_MS, must_ask_ms / 2),
            first_call_spread_ms=first_call_spread_ms,
            hold_after_ms=hold_after_ms,
            start_hold_after_ms=min(first_call_spread_ms + PROMPT_ANSWER_MS, START_HOLD_MS, hold_after_ms),
            move_hold_after_ms=hold_after_ms,
            pending_hold_after_ms=DRAIN_GRACE_MS - PAUSE_MS,
            max_hold_ms=MAX_HOLD_MS,
            hold_extension_ms=MAX_HOLD_MS,
        )

    @classmethod
    def _for_local_agent(cls) -> DiscoveryTimes:
        """Times with a local agent: calls cost nothing, and its changes count at once."""
        return cls(
            silence_timeout_ms=HEARTBEAT_MS + SILENCE_SLACK_MS,
            unchanged_after_ms=AGENT_UNCHANGED_MS,
            answer_timeout_ms=AGENT_ANSWER_MS,
            late_call_after_ms=AGENT_LATE_CALL_MS,
            parallel_call_after_ms=AGENT_LATE_CALL_MS,
            # No fewer than are made while requests are held.
            outage_calls=1 + int(AGENT_START_MS / AGENT_LATE_CALL_MS),
            initial_backoff_ms=AGENT_BACKOFF_MS,
            max_backoff_ms=AGENT_BACKOFF_MS,
            overload_max_backoff_ms=AGENT_BACKOFF_MS,
            outage_max_backoff_ms=AGENT_BACKOFF_MS,
            first_call_spread_ms=0.0,
            hold_after_ms=NOTIFIED_AFTER_MS - PAUSE_MS - SCHEDULING_SLACK_MS,
            start_hold_after_ms=NOTIFIED_AFTER_MS - PAUSE_MS - SCHEDULING_SLACK_MS,
            move_hold_after_ms=MOVE_NOTIFIED_MS - PAUSE_MS - SCHEDULING_SLACK_MS,
            pending_hold_after_ms=math.inf,  # an agent's changes count whether or not they were written
            max_hold_ms=AGENT_START_MS,
            hold_extension_ms=0.0,
        )

    def failed_call_chain_ms(self) -> float:
        """From discovery's return to a fresh list: an unanswered call, a backoff, a call that returns it."""
        return self.answer_timeout_ms + BACKOFF_JITTER[1] * self.max_backoff_ms + ANSWER_MS

    def silent_watch_chain_ms(self) -> float:
        """From a watch's last data to a fresh list: a connection that never comes up, another in parallel."""
        return self.silence_timeout_ms + self.late_call_after_ms + ANSWER_MS
