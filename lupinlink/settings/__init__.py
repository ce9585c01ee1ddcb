"""Settings of the decision module (Settings), their parser, and the configuration of a proxy (Config)."""

from lupinlink.settings.config import ENVIRONMENT_VARIABLES as ENVIRONMENT_VARIABLES
from lupinlink.settings.config import MAX_SOCKETS as MAX_SOCKETS
from lupinlink.settings.config import MIN_SOCKETS as MIN_SOCKETS
from lupinlink.settings.config import Config as Config
from lupinlink.settings.config import load_config as load_config
from lupinlink.settings.config import parse_address as parse_address
from lupinlink.settings.model import DedupScope as DedupScope
from lupinlink.settings.model import Effect as Effect
from lupinlink.settings.model import RequestClass as RequestClass
from lupinlink.settings.model import Settings as Settings
from lupinlink.settings.model import SettingsError as SettingsError
from lupinlink.settings.model import Tenant as Tenant
from lupinlink.settings.parser import REPORT_FIELDS as REPORT_FIELDS
from lupinlink.settings.parser import SOCKET_FIELDS as SOCKET_FIELDS
from lupinlink.settings.parser import parse_settings as parse_settings
from lupinlink.settings.parser import read_settings as read_settings
