"""What can be wrong with a file that people write."""

from __future__ import annotations

from lupinlink.errors import LupinError


class ConfigError(LupinError):
    """Base of this package's errors."""

    code = "LL500"
    about = "a file that people write cannot be used"
    remedy = "see deploy/fleet.toml, where every key stands with unit, range and default"


class FleetFileError(ConfigError):
    """The text names file, key, what is wrong and what is allowed."""

    code = "LL501"
    about = "the fleet file holds something that it may not"
    remedy = "mend the key; deploy/fleet.toml has every one with unit, range and default"


class FleetFileUnreadableError(ConfigError):
    """It is not there, or no TOML."""

    code = "LL502"
    about = "the fleet file cannot be read"
    remedy = "look at the path given by --fleet or LB_FLEET, and at the place in the file that is named"


class FleetExtraError(ConfigError):
    """The libraries of the extra are not installed."""

    code = "LL503"
    about = "a fleet file was given, but the program was installed without what it needs"
    remedy = "install the extra: pip install lupinlink[fleet]"


class FleetComponentError(ConfigError):
    """The program has no such part."""

    code = "LL504"
    about = "the fleet file has a table for a part that this program does not have"
    remedy = "take the table out, or start the version that it was written for"
