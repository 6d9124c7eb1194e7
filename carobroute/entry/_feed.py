"""Feeds the router with what configuration, instance list and links tell."""

from collections.abc import Callable

from carobroute.domain import InstanceState, TargetState
from carobroute.engines import CacheEvent, CacheEvents
from carobroute.links import Endpoint, LoadReport, Peer
from carobroute.local import CacheNews
from carobroute.membership import Directory
from carobroute.requests import Router, TargetView
from carobroute.tickets import Configuration, TargetObject


class TargetFeed:
    """Joins the targets of the ticket in force with the instances beside them.

    Parameters
    ----------
    router : Router
        Is told of every change.
    endpoint : Endpoint
        Links, on which load reports arrive.
    directory : Directory
        Instances.
    configuration : callable
        Returns the configuration in force.
    """

    __slots__ = ("_configuration", "_directory", "_endpoint", "_router")

    def __init__(
        self,
        *,
        router: Router,
        endpoint: Endpoint,
        directory: Directory,
        configuration: Callable[[], Configuration],
    ):
        self._router = router
        self._endpoint = endpoint
        self._directory = directory
        self._configuration = configuration

    def start(self) -> None:
        """Register for load reports and tell the router of all targets."""
        self._endpoint.handle(LoadReport, self._on_report)
        self._endpoint.handle(CacheNews, self._on_cache_news)
        self.refresh()

    def refresh(self) -> None:
        """Tell the router of all targets, and keep links to its subsets."""
        configuration = self._configuration()
        views = [self._view(configuration, entry) for entry in configuration.targets()]
        self._router.update_targets([view for view in views if view is not None])
        services = configuration.services()
        for service in services:
            self._router.set_policy(service.name, service.routing)
        self._keep_links([service.name for service in services])

    def dump(self) -> list[dict[str, object]]:
        """Return what is known of each target, in plain data."""
        return [
            {
                "target": record.name,
                "data_centre": record.view.data_centre,
                "state": record.view.state.value,
                "incarnation": record.view.incarnation,
                "in_flight": record.in_flight,
                "load": record.load,
                "reported_load": record.reported_load,
                "report_age_ms": round(record.report_age_ms),
                "step_ms": record.step_ms,
                "first_ms": round(record.first_byte_ms, 1),
                "available": record.is_available,
                "ejected": record.health.is_ejected,
                "share": round(record.health.weight_share, 2),
            }
            for record in self._router.records
        ]

    def _keep_links(self, services: list[str]) -> None:
        """Open the links that routing needs, and close those that it left unused."""
        wanted = set()
        for service in services:
            for name in self._router.subset_targets(service):
                instance = self._directory.by_target(name)
                if instance is not None:
                    wanted.add(instance.address)
        for address in wanted:
            self._endpoint.peer(address)
        for peer in self._endpoint.peers:
            if peer.address and peer.address not in wanted and not peer.busy:
                self._endpoint.forget(peer.address)

    def _view(
        self, configuration: Configuration, target: TargetObject
    ) -> TargetView | None:
        """Return the target as the router sees it; None without a local process."""
        instance = self._directory.by_target(target.name)
        if instance is None:
            return None
        state = target.state
        if instance.state is InstanceState.LEAVING:
            state = TargetState.DRAINING
        in_force = configuration.objects[f"target/{target.name}"]
        return TargetView(
            name=target.name,
            service=target.service,
            data_centre=target.data_centre,
            region=instance.region,
            group=target.group,
            concurrency=target.concurrency,
            state=state,
            incarnation=instance.incarnation,
            ticket=in_force.number,
        )

    def _on_cache_news(self, peer: Peer, news: CacheNews) -> None:
        event = CacheEvent(seq=news.sequence, stored=news.stored, removed=news.removed)
        events = CacheEvents(incarnation=news.run, events=[event])
        self._router.note_cache_events(news.target, events)

    def _on_report(self, peer: Peer, report: LoadReport) -> None:
        self._router.note_report(report, peer.incarnation)
