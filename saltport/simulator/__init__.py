"""The program that the simulator runs: its protocol, connected to the decision module."""
