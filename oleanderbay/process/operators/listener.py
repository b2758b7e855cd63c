"""The gRPC listener for operators."""

from typing import Any

import grpc

from oleanderbay.process.operators import servicer as servicers
from oleanderbay.schema import operators_pb2_grpc

# Larger than any change that fits a log record.
MAX_MESSAGE_BYTES = 4_000_000


class Listener:
    """Serves operators' calls on one address."""

    def __init__(self, servicer: servicers.Servicer, address: str) -> None:
        self.servicer = servicer
        self.address = address
        self.port = 0
        self.server: Any = None

    async def start(self) -> None:
        """Binds the address and starts to serve.

        Raises:
            OSError: The address can't be bound.
        """
        self.server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
            )
        )
        operators_pb2_grpc.add_OperatorsServicer_to_server(
            self.servicer, self.server
        )
        try:
            self.port = self.server.add_insecure_port(self.address)
        except RuntimeError as error:
            raise OSError(f"can't bind {self.address}") from error
        await self.server.start()

    async def close(self, grace_ms: int = 1_000) -> None:
        """Stops to serve; calls in progress get some time to end."""
        if self.server is not None:
            await self.server.stop(grace_ms / 1000)
            self.server = None
