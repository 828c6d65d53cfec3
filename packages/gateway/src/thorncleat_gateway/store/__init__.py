"""What is known from the platform's store, and how it gets here.

:mod:`.view` follows the store through a feed; :mod:`.relay_feed` is the feed that asks another
daemon while one answers, and :mod:`.relay_server` is the other side of it.
"""
