"""The replicated control state: commands, results and the state machine."""
