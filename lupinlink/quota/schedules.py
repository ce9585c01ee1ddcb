"""Which schedules hold on a day. Pure: the date is handed in, and decides only which stated figures are used.

Easter is that of the Gregorian calendar by the algorithm that an unnamed correspondent gave in Nature 13 (20
April 1876), p. 487, as Meeus prints it ("Astronomical Algorithms", 2nd edition, 1998, chapter 8); good for
every year from 1583.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterable

from lupinlink.quota.model import Schedule

FEASTS = ("christmas", "easter")


def easter(year: int) -> datetime.date:
    """Easter Sunday of a year."""
    a = year % 19
    b, c = divmod(year, 100)
    d, e = divmod(b, 4)
    g = (b - (b + 8) // 25 + 1) // 3
    h = (19 * a + b - d - g + 15) % 30
    i, k = divmod(c, 4)
    m = (32 + 2 * e + 2 * i - h - k) % 7
    month, day = divmod(h + m - 7 * ((a + 11 * h + 22 * m) // 451) + 114, 31)
    return datetime.date(year, month, day + 1)


def holds(schedule: Schedule, day: datetime.date) -> bool:
    """Whether a schedule holds on that day. Before a feast: the ``days`` days up to its eve."""
    if not schedule.feast:
        first, last, now = schedule.first, schedule.last, (day.month, day.day)
        return first <= now <= last if first <= last else now >= first or now <= last
    feast = easter(day.year) if schedule.feast == "easter" else datetime.date(day.year, 12, 25)
    return 0 < (feast - day).days <= schedule.days


def holding(schedules: Iterable[Schedule], day: datetime.date) -> frozenset[str]:
    """The names of all schedules that hold on that day, for ``Policy.at``."""
    return frozenset(schedule.name for schedule in schedules if holds(schedule, day))
