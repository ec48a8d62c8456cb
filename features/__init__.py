"""Features: behaviour that users see, checked with real daemons and stand-ins."""
