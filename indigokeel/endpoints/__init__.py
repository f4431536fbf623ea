"""The endpoint list, and what operators and start times add to it. No I/O."""
