"""What began the streams of callers, so that they go on only there."""
