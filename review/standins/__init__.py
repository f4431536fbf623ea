"""Stand-ins for clients, port servers, discovery and the platform, written from the protocol pages."""
