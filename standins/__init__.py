"""Stand-ins: fakes of the services that azureturn depends on, each run as its own process."""
