"""The balancer on the wire of the simulator."""
