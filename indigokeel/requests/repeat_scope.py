"""Checks that a repeat of a keyed request reaches upstreams that detect it. No I/O."""

from __future__ import annotations

from indigokeel.balancing.retry_policy import are_in_same_scope
from indigokeel.balancing.settings import DeduplicationScope
from indigokeel.endpoints.directory import EndpointDirectory
from indigokeel.endpoints.endpoint_list import Endpoint
from indigokeel.requests.open_request import OpenRequest


def allows_attempt(request: OpenRequest, number: int, directory: EndpointDirectory) -> bool:
    """Return whether attempt ``number`` may be sent, given which upstreams are listed now.

    While a request is open, another process may take over the name or the address of an upstream. If it is in
    another scope, neither the upstream that was chosen nor the one that may have run the request is known.
    """
    scope = request.repeat_scope
    executions = request.possible_executions(number)
    if scope is None or scope is DeduplicationScope.ALL or not executions:
        return True
    attempt = request.attempts[number]
    target = directory.endpoint(attempt.upstream)
    return target is not None and all(
        execution.endpoint is not None
        and are_in_same_scope(scope, target, execution.endpoint)
        and not _is_taken_over(scope, execution.endpoint, directory)
        for execution in executions
    )


def _is_taken_over(scope: DeduplicationScope, endpoint: Endpoint, directory: EndpointDirectory) -> bool:
    """Return whether an upstream of another scope is listed at the address of an endpoint by now."""
    current = directory.endpoint_at((endpoint.host, endpoint.port))
    return current is not None and not are_in_same_scope(scope, current, endpoint)
