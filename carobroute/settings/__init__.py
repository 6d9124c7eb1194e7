"""Settings of one process: read from a YAML file and checked as a whole."""

from carobroute.settings._check import SettingFault, check_value
from carobroute.settings._load import (
    SettingsFault,
    load_settings,
    parse_settings,
    read_secret,
)
from carobroute.settings._schema import (
    CurveSettings,
    EntrySettings,
    InstanceSettings,
    LinkSettings,
    LocalSettings,
    LogSettings,
    OperatorSettings,
    PlatformSettings,
    Settings,
)
from carobroute.settings._yaml import parse_yaml

__all__ = [
    "CurveSettings",
    "EntrySettings",
    "InstanceSettings",
    "LinkSettings",
    "LocalSettings",
    "LogSettings",
    "OperatorSettings",
    "PlatformSettings",
    "SettingFault",
    "Settings",
    "SettingsFault",
    "check_value",
    "load_settings",
    "parse_settings",
    "parse_yaml",
    "read_secret",
]
