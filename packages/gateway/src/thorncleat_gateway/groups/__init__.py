"""Control of serving groups: who controls, which groups exist, and the orders to endpoints.

==============================================  ==================================================
question                                        module
==============================================  ==================================================
Which daemon is the controller, and until when  :mod:`.election`
What the controller does in its term            :mod:`.controller`, :mod:`.planner`
When the first layout may be made               :mod:`.list_growth`
Which size of a fabric domain counts            :mod:`.domain_sizes`
Which groups and loads are needed               :mod:`.formation`
How many loads may begin                        :mod:`.load_rate`
How a group is formed                           :mod:`.forming`, :mod:`.group_steps`
Which models are loaded onto spares             :mod:`.model_loader`, :mod:`.spare_warming`
Why a group is ended, and how                   :mod:`.group_health`, :mod:`.ending`
Whether any daemon reaches a leader             :mod:`.leader_liveness`
When the members of a lost leader are free      :mod:`.separation`, :mod:`.recent_members`
Whether a group may still answer                :mod:`.records`
Whether an order is safe to send                :mod:`.orders`, :mod:`.join_rules`
Which endpoints and domains are paused          :mod:`.forming_state`, :mod:`.lost_endpoints`
Which members are slow or no longer listed      :mod:`.slow_endpoints`, :mod:`.unlisted_endpoints`
How all of these are wired                      :mod:`.control_services`, :mod:`.term`
==============================================  ==================================================

Owns: the controller's state. Only the groups' records in the store outlive its term.
Relies on: :mod:`..store` for the list and the records, :mod:`..peers` for the other daemons'
contacts with endpoints.
"""
