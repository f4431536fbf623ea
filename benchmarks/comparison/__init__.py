"""The implementation of ``benchmarks.compare_processes``, which compares processes of two checkouts."""
