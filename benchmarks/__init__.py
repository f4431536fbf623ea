"""Long measurements, run by hand; their results stand in docs/measurements.md."""
