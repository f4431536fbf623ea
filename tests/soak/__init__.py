"""A seeded soak test: real processes under faults, signals and replacement, checked against fixed rules.

``python -m tests.soak --seeds 1-50 --seconds 20`` prints a summary line for each seed. The same seed
gives the same schedule.
"""
