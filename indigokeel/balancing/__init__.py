"""The balancer: it does no input or output and knows only the events it is handed."""
