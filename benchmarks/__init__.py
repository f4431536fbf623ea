"""Benchmarks and comparisons of checkouts, run by hand; their results are in docs/capacity.md."""
