"""Orders that the stand-in engine takes from the control leader."""

import asyncio
from collections.abc import Callable
from typing import Annotated, Literal

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.wire.rows import LoadedVersion

__all__ = ["Order", "OrderDesk"]


class Order(BaseModel):
    """An order; (term, revision) is its fencing number."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    term: Annotated[int, Field(ge=0)]
    revision: Annotated[int, Field(ge=0)]
    action: Literal["load", "unload", "set_role"]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderDesk:
    """Checks fencing numbers and carries orders out.

    Parameters
    ----------
    loaded
        Versions loaded from the start.
    load_s
        Seconds that a load takes.
    honours_fencing
        Whether an order with an old fencing number is refused.
    on_change
        Called when the loaded versions or the role change.
    """

    def __init__(
        self,
        loaded: tuple[LoadedVersion, ...],
        load_s: float,
        honours_fencing: bool,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.loaded = list(loaded)
        self.loading: dict[LoadedVersion, asyncio.Task[None]] = {}
        self.adapters: set[str] = set()
        self.role = "both"
        self._load_s = load_s
        self._honours_fencing = honours_fencing
        self._on_change = on_change
        self._highest = (0, 0)
        self._accepted: list[Order] = []

    def add_routes(self, app: web.Application) -> None:
        """Add ``/v1/orders``."""
        app.router.add_post("/v1/orders", self._take)
        app.router.add_get("/v1/orders", self._show)

    async def _show(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "fencing": list(self._highest),
                "accepted": [order.model_dump() for order in self._accepted],
                "loaded": [[item.model, item.version] for item in self.loaded],
                "loading": [[item.model, item.version] for item in self.loading],
                "adapters": sorted(self.adapters),
                "role": self.role,
            }
        )

    async def _take(self, request: web.Request) -> web.Response:
        try:
            order = Order.model_validate_json(await request.read())
        except ValidationError as error:
            return web.json_response({"error": {"message": str(error)}}, status=400)
        number = (order.term, order.revision)
        if self._honours_fencing and number < self._highest:
            return _fenced(self._highest)
        self._highest = max(self._highest, number)
        self._accepted.append(order)
        return web.json_response({"state": self._carry_out(order)})

    def _carry_out(self, order: Order) -> str:
        target = LoadedVersion(order.model, order.version)
        if order.action == "set_role":
            self.role = order.role
            self._on_change()
            return "done"
        if order.action == "unload":
            return self._unload(target)
        if order.adapter:
            self.adapters.add(order.adapter)
        if target in self.loaded:
            return "loaded"
        if target not in self.loading:
            self.loading[target] = asyncio.create_task(self._load(target))
        return "loading"

    async def _load(self, target: LoadedVersion) -> None:
        await asyncio.sleep(self._load_s)
        del self.loading[target]
        self.loaded.append(target)
        self._on_change()

    def _unload(self, target: LoadedVersion) -> str:
        loading = self.loading.pop(target, None)
        if loading is not None:
            loading.cancel()
        if target in self.loaded:
            self.loaded.remove(target)
            self._on_change()
        return "unloaded"


def _fenced(highest: tuple[int, int]) -> web.Response:
    code = ResultCode.ORDER_FENCED
    error = {
        "code": int(code),
        "name": code.name,
        "message": f"the highest fencing number is {highest[0]}.{highest[1]}",
    }
    return web.json_response({"error": error}, status=CODE_TABLE[code].http_status)
