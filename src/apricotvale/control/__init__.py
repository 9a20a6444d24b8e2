"""The replicated state of the system: commands, results and the state machine."""
