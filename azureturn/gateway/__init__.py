"""The pass-through gateway: any HTTP service behind routes by host and path."""
