"""The parts of ``benchmarks.compare_processes``, which compares two checkouts of the program on sockets."""
