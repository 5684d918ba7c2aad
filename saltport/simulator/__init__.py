"""What the simulator starts: its wire, and the decisions behind it."""
