"""The queue of a service, the node that holds it, and the nodes that ask it."""
