"""What a caller's connection may take of this process, and what is done with one that takes more.

==========================================  =======================================================
question                                    module
==========================================  =======================================================
How much all connections may take           :mod:`.limits`
Which connection is closed for another one  :mod:`.connection_table`
When a connection has taken too long        :mod:`.connection_table`
Memory of heads and of unread bytes         :mod:`.pending_memory`
Memory of bodies                            :mod:`.body_budget`
Turns of the event loop                     :mod:`.loop_turns`
How the server's connections keep to these  :mod:`.connection`, :mod:`.listener_bounds`
What is counted and logged                  :mod:`.bounded_log`
==========================================  =======================================================

Owns: the state of the connections of callers, the load balancer and the readers of metrics.
Relies on: aiohttp's server for HTTP itself.
"""
