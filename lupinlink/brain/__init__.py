"""The decision module of one proxy; its events, actions and records are in interface.py.

Admission control and load balancing follow Liu, Heo, Sha and Zhu, "Adaptive Control of Multi-Tiered Web
Applications Using Queueing Predictor", sections III and IV; docs/design.md lists what was kept and changed.
"""

from lupinlink.brain.balancer import Balancer as Balancer
