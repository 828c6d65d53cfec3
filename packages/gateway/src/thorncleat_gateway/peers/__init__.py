"""Communication between daemons, failure detection and load reports."""
