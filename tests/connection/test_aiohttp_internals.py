"""Tests that aiohttp and yarl still have the undocumented names in use."""

import ast
import asyncio
import pathlib
from unittest import mock

import aiohttp
import pytest
import yarl
from aiohttp import client_proto, web

from oleanderbay.connection import aiohttp_internals


async def create_objects():
    """Creates an object of each class in `aiohttp_internals.USED_NAMES`."""
    async with aiohttp.ClientSession() as session:
        return [
            client_proto.ResponseHandler(asyncio.get_running_loop()),
            aiohttp.TCPConnector(),
            session,
            yarl.URL("http://a/"),
            server := web.Server(mock.Mock()),
            server(),
        ]


@pytest.mark.parametrize(
    "owner", aiohttp_internals.USED_NAMES, ids=lambda c: c.__name__
)
async def test_undocumented_names_exist(owner):
    """An update that removes a name must fail here, not in production."""
    (instance,) = [one for one in await create_objects() if type(one) is owner]
    missing = [
        n
        for n in aiohttp_internals.USED_NAMES[owner]
        if not hasattr(instance, n)
    ]
    assert not missing, f"{owner.__name__} of aiohttp {aiohttp.__version__}"


@pytest.mark.parametrize(
    "module",
    [
        "connection/http",
        "gateway/caller_server",
        "gateway/connection_pool",
        "gateway/worker_client",
        "gateway/worker_connection",
        "process/serving/callers",
    ],
)
def test_other_modules_do_not_use_the_names(module):
    """A use elsewhere would not be covered by the test above."""
    package = pathlib.Path(aiohttp_internals.__file__).parents[1]
    path = package / f"{module}.py"
    used = {
        node.attr
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
    }
    checked = {
        "_ErrInfo",
        "_EXC_SENTINEL",
        *sum(aiohttp_internals.USED_NAMES.values(), ()),
    }
    assert not used & {name for name in checked if name.startswith("_")}
