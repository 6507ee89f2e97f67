"""Decides of which model an agent keeps its engine's weights up to date.

Takes the models of the service, those that the engine serves, and the agent's choice so
far. Decides for one of them.

Load pattern: a service with several models, of which versions are named at any time. A
version is news only for the engines of its model, whatever the numbers of the others.
"""

from collections.abc import Collection


def choose_model(
    models: tuple[str, ...], served: Collection[str], current: str | None, turn: float
) -> str | None:
    """Return the model of an engine; None if the service has none.

    An engine keeps its model. One that serves nothing gets back the ``current`` one;
    without that, engines spread over the models by ``turn``, from 0 to 1.
    """
    found = [model for model in models if model in served]
    if current in models and (current in found or not found):
        return current
    if found:
        return found[0]
    if not models:
        return None
    return models[min(len(models) - 1, int(turn * len(models)))]
