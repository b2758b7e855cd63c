"""Tests that aiohttp still has the undocumented names in use."""

import asyncio

import aiohttp
import pytest
import yarl
from aiohttp import client_proto

from oleanderbay.gateway import library


async def objects():
    """Makes an object of each class of `library.USED`."""
    async with aiohttp.ClientSession() as session:
        return [
            client_proto.ResponseHandler(asyncio.get_running_loop()),
            aiohttp.TCPConnector(),
            session,
            yarl.URL("http://a/"),
        ]


@pytest.mark.parametrize("owner", library.USED, ids=lambda c: c.__name__)
async def test_the_library_has_the_names(owner):
    """An update that renames one must fail here, not in traffic."""
    (made,) = [one for one in await objects() if type(one) is owner]
    missing = [n for n in library.USED[owner] if not hasattr(made, n)]
    assert not missing, f"{owner.__name__} of aiohttp {aiohttp.__version__}"
