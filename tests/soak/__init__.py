"""A seeded soak: processes of the program in turn, under faults and series of signals, and their judge.

``python -m tests.soak --seeds 1-50 --seconds 20`` prints a line for each seed. One seed gives one schedule.
"""
