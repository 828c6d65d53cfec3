"""The thorncleat daemon: ports and adapters around :mod:`thorncleat_core`."""
