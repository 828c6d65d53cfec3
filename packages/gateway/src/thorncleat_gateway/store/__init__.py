"""This daemon's copy of the platform's store, and the exchange of changes between daemons.

:mod:`.view` follows the store through a feed. :mod:`.relay_feed` is a feed that asks another
daemon, or the store if no daemon answers. :mod:`.relay_server` answers other daemons.
"""
