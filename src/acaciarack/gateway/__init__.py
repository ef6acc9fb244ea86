"""Serves a hosted deployment's requests by its operator's configuration.

A request is found its route, its organisation and a target; plain calls are
sent at most as often as their route allows, and a stream of events outlives
the target on which it began. What the hosting platform names its headers,
calls and records is decoded by a plug-in into the types of
``acaciarack.gateway.facts``; nothing here knows those names.
"""
