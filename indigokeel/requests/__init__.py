"""Tracks each request from its arrival to its one final answer."""
