"""Measurements and comparisons, run by hand; their results are in docs/capacity.md."""
