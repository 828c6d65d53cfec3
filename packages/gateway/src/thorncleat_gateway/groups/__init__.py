"""The control of groups: who controls, which groups there are to be, and the orders for it.

=======================================  ==========================================
question                                 module
=======================================  ==========================================
which daemon gives orders, how long      :mod:`.election`
what it does in a term                   :mod:`.controller`, :mod:`.planner`
when the first layout may be made        :mod:`.list_growth`
how large a fabric domain counts         :mod:`.domain_sizes`
which groups and loads there are to be   :mod:`.formation`
how many loads may begin                 :mod:`.load_rate`
why a group is ended                     :mod:`.group_health`
whether a leader is dead                 :mod:`.leader_liveness`
whether a group may still answer         :mod:`.records`
whether an order is safe to give         :mod:`.orders`, :mod:`.join_rules`
who is left alone for a while            :mod:`.forming_state`, :mod:`.lost_endpoints`
=======================================  ==========================================

Owns: what the controller knows and has under way, none of which outlives its term but the groups'
records in the store.
Relies on: :mod:`..store` for the list and the records, :mod:`..peers` for what other daemons hear.
"""
