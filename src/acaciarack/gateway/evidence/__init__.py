"""Evidence that nodes share about requests that crash targets."""
