"""What a proxy is told at its start: the one Settings type, the one parser, and the sockets' Config."""

from lupinlink.settings.config import LEAST_SOCKETS as LEAST_SOCKETS
from lupinlink.settings.config import MOST_SOCKETS as MOST_SOCKETS
from lupinlink.settings.config import VARIABLES as VARIABLES
from lupinlink.settings.config import Config as Config
from lupinlink.settings.config import address as address
from lupinlink.settings.config import load_config as load_config
from lupinlink.settings.model import Effect as Effect
from lupinlink.settings.model import RequestClass as RequestClass
from lupinlink.settings.model import Scope as Scope
from lupinlink.settings.model import Settings as Settings
from lupinlink.settings.model import SettingsError as SettingsError
from lupinlink.settings.model import Tenant as Tenant
from lupinlink.settings.parser import REPORT_FIELDS as REPORT_FIELDS
from lupinlink.settings.parser import SOCKET_FIELDS as SOCKET_FIELDS
from lupinlink.settings.parser import parse_settings as parse_settings
from lupinlink.settings.parser import read_settings as read_settings
