"""What daemons tell each other."""
