"""The adapter that connects balancers to the simulator."""
