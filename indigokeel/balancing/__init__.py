"""The balancer: turns events into actions, performs no I/O and reads no clock."""
