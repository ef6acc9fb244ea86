"""The other nodes, and the exchange of state with them."""
