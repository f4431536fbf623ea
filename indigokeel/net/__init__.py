"""The real sidecar: sockets, HTTP/1.1, the clock and signals round the coordinator."""
