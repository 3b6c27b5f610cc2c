"""Small stand-ins for what surrounds azureturn, each a process of its own."""
