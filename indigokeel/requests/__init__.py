"""The state of each request, from its arrival to its one final answer."""
