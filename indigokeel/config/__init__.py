"""The configuration of a process: loading, decoding, validation, and the check on reload."""

from indigokeel.config.errors import ConfigError, SettingsError
from indigokeel.config.loader import Config, load_config, reload_config
from indigokeel.config.settings_decoder import decode_settings

__all__ = ["Config", "ConfigError", "SettingsError", "decode_settings", "load_config", "reload_config"]
