"""Small stand-ins for the platform, engines, services and a faulty network."""
