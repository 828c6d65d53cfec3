"""What this daemon knows of the platform's store, and how the knowledge is shared.

:mod:`.view` follows the store through a feed. :mod:`.relay_feed` is a feed that asks another
daemon while one answers, and :mod:`.relay_server` answers such daemons.
"""
