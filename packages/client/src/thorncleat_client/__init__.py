"""The operators' command line of thorncleat."""
