"""The process: start, reload, shutdown, supervision, and the wiring of all parts."""
