"""What can go wrong in the laboratory itself, whatever it plays."""

from __future__ import annotations

from lupinlink.errors import LupinError


class LibraryError(LupinError, ValueError):
    """A scenario that cannot be read or played; ``lines``: one a flaw."""

    code = "LL651"
    about = "a scenario file, or one it includes, cannot be read or played"
    remedy = "mend what each line names by file and key; lupinlink lab scenarios lists what is shipped"

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


class LoadError(LupinError, ValueError):
    """What was asked of the load tool cannot be done; one line."""

    code = "LL652"
    about = "the laboratory was asked for a load that it does not send"
    remedy = "give a target on loopback, and a rate, a time and a path within the stated bounds"


class DriveError(LupinError, RuntimeError):
    """The drive itself could not do its part; one line."""

    code = "LL653"
    about = "a proxy that the laboratory started did not serve, or ended by itself"
    remedy = "read the proxy's last words in the line; run lupinlink check on its configuration"


class FleetError(DriveError):
    """The rig could not do its part; one line."""

    code = "LL654"
    about = "the fleet rig could not do its part on this machine"
    remedy = "free what the line names (memory, ports, descriptors), or play fewer proxies"


class ResultsError(LupinError, ValueError):
    """A folder that holds no run, or one of another format."""

    code = "LL655"
    about = "a folder of results cannot be read"
    remedy = "name a folder that lupinlink lab wrote with --out, by this version"
