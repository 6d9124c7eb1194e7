"""Feeds the router with what configuration, instance list and links tell."""

from collections.abc import Callable

from carobroute.links import Endpoint, LoadReport, Peer
from carobroute.membership import Directory
from carobroute.requests import Router, TargetView
from carobroute.tickets import Configuration, TargetObject
from carobroute.world import InstanceState, TargetState


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
        self.refresh()

    def refresh(self) -> None:
        """Tell the router of all targets, and keep links to its subsets."""
        configuration = self._configuration()
        views = [self._view(configuration, entry) for entry in configuration.targets()]
        self._router.update_targets([view for view in views if view is not None])
        for service in configuration.services():
            self._router.set_policy(service.name, service.routing)
            self._keep_links(service.name)

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
                "first_ms": round(record.first_ms, 1),
            }
            for record in self._router.records
        ]

    def _keep_links(self, service: str) -> None:
        for name in self._router.subset(service):
            instance = self._directory.by_target(name)
            if instance is not None:
                self._endpoint.peer(instance.address)

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

    def _on_report(self, peer: Peer, report: LoadReport) -> None:
        if report.leaving:
            self._router.note_leaving(report.target)
        self._router.note_report(report)
