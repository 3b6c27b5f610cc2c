"""The pass-through gateway: forwards HTTP requests to services, routed by host and path."""
