"""The sidecar process: startup, reload, shutdown, supervision, and the wiring of all components."""
