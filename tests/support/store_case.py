"""Edge daemons whose source is the store stand-in, reached over HTTP."""

from sapphirepaddle.directory import source
from sapphirepaddle.edge import listener
from sapphirepaddle.platform import object_source
from sapphirepaddle.proxy import http_client
from sapphirepaddle.settings import edge
from sapphirepaddle.standins import object_store
from tests.support import edge_daemon_case

STORE_PORT = 17110


class StoreCase(edge_daemon_case.EdgeDaemonCase):
    """A test with edge daemons that each call the store by themselves.

    Attributes:
        store: The store stand-in; its objects are those of the source.
    """

    async def asyncSetUp(self) -> None:
        """Open the store, which states its first era."""
        await super().asyncSetUp()
        self.source.served_era = 1
        self.store = object_store.ObjectStoreStandin(self.source)
        self.store_host = f'{self.network.prefix}.0.100'
        store_listener = listener.Listener(
            edge.Address(self.store_host, STORE_PORT), self.store
        )
        await store_listener.open()
        self.addAsyncCleanup(store_listener.shut_down)

    def make_source(self) -> source.Source:
        """Return a client of the store."""
        return object_source.ObjectSource(
            http_client.HttpClient(self.store_host, STORE_PORT)
        )

    async def write_filler(self, count: int) -> None:
        """Raise the revision of the store without a change that matters."""
        for number in range(count):
            await self.source.apply_change(
                'fillers',
                source.Entry(f'f-{number}', {'n': self.source.number}),
            )
