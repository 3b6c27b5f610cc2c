"""Stand-ins for the services that azureturn depends on, each run as its own process."""
