"""The endpoint list, the cordons that operators set over it, and the start times of upstreams. No I/O."""
