"""Routes requests to targets according to the operator's configuration.

A node finds the route, the organisation and a target for each request. A plain
call runs at most as often as its route allows. A stream of events can migrate
to another target while it runs. A plug-in translates the hosting platform's
headers, calls and records to the types of ``acaciarack.gateway.spec``; this
package does not depend on the platform's names.
"""
