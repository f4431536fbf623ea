"""The errors that loading a configuration raises."""

from __future__ import annotations


class SettingsError(ValueError):
    """A missing or invalid value of the configuration; the message names its path."""


class ConfigError(ValueError):
    """A configuration with which no process can start; the message is one line."""
