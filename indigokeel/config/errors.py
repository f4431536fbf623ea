"""The errors of a configuration."""

from __future__ import annotations


class SettingsError(ValueError):
    """A value of the configuration that is missing or invalid; the text names its path."""


class ConfigError(ValueError):
    """A configuration that no process can start from; the text is one line."""
