"""Fault injection on a fleet of router processes: schedules, a runner, and checks of the recorded history."""
