"""Every decision and setting of a lupinlink node; its types, events and actions are in interface.py.

Admission and split follow Liu, Heo, Sha and Zhu, "Adaptive Control of Multi-Tiered Web Applications Using
Queueing Predictor", sections III and IV; docs/design.md lists what was kept and changed."""

from lupinlink.brain.balancer import Balancer as Balancer
