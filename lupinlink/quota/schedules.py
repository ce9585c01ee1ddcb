"""Which schedules apply on a date. Performs no I/O; the caller passes the date.

Easter is computed for the Gregorian calendar with the anonymous algorithm from Nature 13 (20 April 1876),
p. 487, as given by Meeus ("Astronomical Algorithms", 2nd edition, 1998, chapter 8); valid from 1583 on.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Sequence
from functools import cache, lru_cache

from lupinlink.quota.model import Schedule

FEASTS = ("christmas", "easter")


@lru_cache(1024)
def easter(year: int) -> datetime.date:
    """The date of Easter Sunday."""
    a = year % 19
    b, c = divmod(year, 100)
    d, e = divmod(b, 4)
    g = (b - (b + 8) // 25 + 1) // 3
    h = (19 * a + b - d - g + 15) % 30
    i, k = divmod(c, 4)
    m = (32 + 2 * e + 2 * i - h - k) % 7
    month, day = divmod(h + m - 7 * ((a + 11 * h + 22 * m) // 451) + 114, 31)
    return datetime.date(year, month, day + 1)


def _feast(name: str, year: int) -> datetime.date:
    return easter(year) if name == "easter" else datetime.date(year, 12, 25)


def applies_on(schedule: Schedule, day: datetime.date) -> bool:
    """Whether a schedule applies on a day. The ``days`` before a feast end the day before it."""
    if not schedule.feast:
        first, last, now = schedule.first, schedule.last, (day.month, day.day)
        return first <= now <= last if first <= last else now >= first or now <= last
    # Next year's feast too: the days before it may start in this year.
    return any(0 < (_feast(schedule.feast, day.year + i) - day).days <= schedule.days for i in (0, 1))


def schedules_on(schedules: Iterable[Schedule], day: datetime.date) -> frozenset[str]:
    """The names of the schedules that apply on a day, as ``Policy.limits_during`` takes them."""
    return frozenset(schedule.name for schedule in schedules if applies_on(schedule, day))


@cache
def _years_by_easter_date() -> tuple[int, ...]:
    """One year for each possible date of Easter."""
    dates = {(easter(year).month, easter(year).day): year for year in range(2400, 1999, -1)}
    return tuple(dates.values())


def schedule_combinations(schedules: Sequence[Schedule]) -> set[frozenset[str]]:
    """Every set of schedules that can apply on the same day, for every possible date of Easter."""
    years = _years_by_easter_date() if any(one.feast == "easter" for one in schedules) else (2000,)
    found: set[frozenset[str]] = {frozenset()}
    for year in years:
        day = datetime.date(year, 1, 1)
        while day.year == year:
            found.add(schedules_on(schedules, day))
            day += datetime.timedelta(days=1)
    return found
