"""Errors of the fleet file."""

from __future__ import annotations

from lupinlink.errors import LupinError


class ConfigError(LupinError):
    """Base of this package's errors."""

    code = "LL500"
    about = "a configuration file cannot be used"
    remedy = "see deploy/fleet.toml, which lists every key with unit, range and default"


class FleetFileError(ConfigError):
    """The message names the file, the key, what is wrong and what is allowed."""

    code = "LL501"
    about = "the fleet file has an invalid key or value"
    remedy = "correct the key; deploy/fleet.toml lists every key with unit, range and default"


class FleetFileUnreadableError(ConfigError):
    """The file does not exist, cannot be opened or is not valid TOML."""

    code = "LL502"
    about = "the fleet file cannot be read"
    remedy = "check the path given by --fleet or LB_FLEET, and the position in the file that is named"


class FleetExtraError(ConfigError):
    """The libraries of the optional extra are not installed."""

    code = "LL503"
    about = "a fleet file was given, but the program was installed without the libraries that it needs"
    remedy = "install the extra: pip install lupinlink[fleet]"


class FleetComponentError(ConfigError):
    """The program has no such component."""

    code = "LL504"
    about = "the fleet file has a table for a component that this program does not have"
    remedy = "remove the table, or run the version that it was written for"
