"""Chooses the model of a request among those that its route allows."""

from baobabstream.routing.document import Route

__all__ = ["ANY_MODEL", "choose_model"]

ANY_MODEL = "*"


def choose_model(route: Route, asked: str) -> str:
    """Return the model to name to the server, or an empty text if the caller named none.

    Parameters
    ----------
    route
        Route of the request; its models come smallest first.
    asked
        Model that the caller names.
    """
    if route.model_names and asked in ("", ANY_MODEL):
        return route.model_names[-1]
    return asked
