"""The HTTP interface for operators: contracts, members, shards, workers, drain, metrics."""

from prometheus_client import CollectorRegistry, generate_latest

from dandelionreel import __version__
from dandelionreel.admin._views import (
    Acknowledgement,
    ContractView,
    DrainBody,
    EndpointView,
    MemberView,
    PendingVersionView,
    PublishBody,
    PublishResult,
    ShardView,
    StatusView,
    VersionOutcomeView,
    WorkerView,
)
from dandelionreel.backing import StreamReader
from dandelionreel.callers import CallerApi
from dandelionreel.contracts import (
    ContractError,
    ContractProjection,
    ContractPublisher,
    load_contract,
)
from dandelionreel.http import Request, Response, json_response
from dandelionreel.jobs import Dispatcher, JobProjection, JobState
from dandelionreel.kernel import (
    Clock,
    JsonError,
    RequestError,
    Settings,
    clip_text,
    decode_json,
    not_run_error,
)
from dandelionreel.life import Lifecycle
from dandelionreel.ownership import (
    Authority,
    Membership,
    ShardClaimer,
    ShardProjection,
    runner_shard,
)
from dandelionreel.peers import PeerDirectory
from dandelionreel.routing import Router, RunnerPool
from dandelionreel.workers import WorkerFleet

#: Shown as the age of evidence that never arrived, since JSON has no infinity.
MAX_AGE_SECONDS = 1e9
METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_INVALID = 422
HTTP_UNAVAILABLE = 503


class AdminApi:
    """Answers operators, the load balancer's health checks and the metrics collector."""

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        life: Lifecycle,
        registry: CollectorRegistry,
        reader: StreamReader,
        members: Membership,
        shards: ShardProjection,
        authority: Authority,
        claimer: ShardClaimer,
        directory: PeerDirectory,
        contracts: ContractProjection,
        publisher: ContractPublisher,
        jobs: JobProjection,
        dispatcher: Dispatcher,
        fleet: WorkerFleet,
        pool: RunnerPool,
        router: Router,
        callers: CallerApi,
    ) -> None:
        """Serve the state of the member ``own_member``."""
        self._own_member = own_member
        self._settings = settings
        self._clock = clock
        self._lifecycle = life
        self._registry = registry
        self._reader = reader
        self._members = members
        self._shards = shards
        self._authority = authority
        self._claimer = claimer
        self._directory = directory
        self._contracts = contracts
        self._publisher = publisher
        self._jobs = jobs
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._pool = pool
        self._router = router
        self._callers = callers
        self._handler_by_path = {
            '/healthz': self._show_health,
            '/readyz': self._show_readiness,
            '/metrics': self._show_metrics,
            '/v1/status': self._show_status,
            '/v1/members': self._show_members,
            '/v1/shards': self._show_shards,
            '/v1/workers': self._show_workers,
            '/v1/endpoints': self._show_endpoints,
            '/v1/contracts': self._show_contracts,
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request; raises ``RequestError``."""
        path = request.path
        if path.startswith('/v1/jobs'):
            return await self._callers.handle(request)
        if request.method == 'GET':
            return self._show_page(path)
        if path == '/v1/drain' and request.method == 'POST':
            return await self._handle_drain_request(request)
        if path.startswith('/v1/contracts/') and request.method == 'POST':
            return await self._publish_contract(request)
        raise not_run_error(
            HTTP_NOT_FOUND, 'no-such-path', f'{request.method} {clip_text(path)} is not served'
        )

    def _show_page(self, path: str) -> Response:
        handler = self._handler_by_path.get(path)
        if handler is not None:
            return handler()
        if path.startswith('/v1/contracts/'):
            return json_response(self._view_contract(path.removeprefix('/v1/contracts/')))
        raise not_run_error(HTTP_NOT_FOUND, 'no-such-path', f'{clip_text(path)} is not served')

    def _show_health(self) -> Response:
        return json_response(Acknowledgement('alive'))

    def _show_readiness(self) -> Response:
        reasons = self._lifecycle.reasons_not_ready()
        if reasons:
            raise not_run_error(HTTP_UNAVAILABLE, 'not-ready', '; '.join(reasons))
        return json_response(Acknowledgement('ready'))

    def _show_metrics(self) -> Response:
        headers = (('content-type', METRICS_TYPE),)
        return Response(HTTP_OK, headers, generate_latest(self._registry))

    def _show_status(self) -> Response:
        reasons = self._lifecycle.reasons_not_ready()
        outage = 0.0
        if self._reader.outage_since is not None:
            outage = self._clock.monotonic() - self._reader.outage_since
        contracts = {}
        for customer in self._contracts.customers():
            contract = self._contracts.contract_in_force(customer)
            contracts[customer] = contract.version if contract else 0
        return json_response(
            StatusView(
                self._own_member,
                self._settings.availability_zone,
                __version__,
                not reasons,
                reasons,
                self._claimer.may_claim_shards(),
                self._claimer.draining,
                self._dispatcher.is_active,
                min(self._authority.evidence_age(), MAX_AGE_SECONDS),
                outage,
                len(self._claimer.owned_claims()),
                self._router.in_flight,
                {state.value: self._jobs.count_in_state(state) for state in JobState},
                contracts,
            ),
        )

    def _show_members(self) -> Response:
        views = []
        now = self._clock.monotonic()
        for member in self._members.live_members():
            state = self._directory.get_by_member(member.key)
            heard_ago = -1.0
            if member.key == self._own_member:
                heard_ago = 0.0
            elif state is not None and state.member == member.key:
                heard_ago = round(now - state.heard_at, 3)
            views.append(
                MemberView(
                    member.key,
                    member.availability_zone,
                    heard_ago,
                    state.gossip.draining if state else self._claimer.draining,
                ),
            )
        return json_response(views)

    def _show_shards(self) -> Response:
        views = [
            ShardView(
                claim.shard,
                claim.owner,
                claim.epoch,
                '' if self._shards.is_settled(claim) else claim.former_owner,
                claim.released,
                self._authority.current_grant(claim.shard).level.value,
            )
            for claim in sorted(self._shards.claims(), key=lambda claim: claim.shard)
        ]
        return json_response(views)

    def _show_workers(self) -> Response:
        views = []
        for name, agent in sorted(self._fleet.agent_by_worker.items()):
            used = agent.ledger.total_demand()
            capacity = agent.entry.capacity
            views.append(
                WorkerView(
                    name,
                    agent.entry.rack,
                    agent.entry.state,
                    capacity.processors,
                    capacity.memory_mb,
                    capacity.accelerators,
                    used.processors,
                    used.memory_mb,
                    used.accelerators,
                    len(agent.ledger.allocations()),
                    agent.current_grant().level.value,
                ),
            )
        return json_response(views)

    def _show_endpoints(self) -> Response:
        views = [
            EndpointView(
                runner.entry.name,
                runner.entry.service,
                'leaving' if self._pool.is_endpoint_leaving(runner.entry) else 'live',
                runner.entry.slots,
                runner.in_use,
                runner.former_owner_slots,
                runner.limit,
                runner.open_connections,
                self._authority.current_grant(runner_shard(runner.entry.name)).level.value,
            )
            for runner in self._pool.runners()
        ]
        return json_response(views)

    def _show_contracts(self) -> Response:
        return json_response([self._view_contract(name) for name in self._contracts.customers()])

    def _view_contract(self, customer: str) -> ContractView:
        contract = self._contracts.contract_in_force(customer)
        pending = self._contracts.pending_proposal(customer)
        history = self._contracts.proposal_history(customer)
        if contract is None and pending is None and not history:
            raise not_run_error(
                HTTP_NOT_FOUND,
                'unknown-customer',
                f'no contract of {clip_text(customer)!r} is known',
            )
        pending_view = None
        if pending is not None:
            missing = tuple(sorted(pending.missing))
            pending_view = PendingVersionView(pending.contract.version, pending.author, missing)
        return ContractView(
            contract,
            pending_view,
            self._contracts.zone_shares(customer),
            tuple(
                VersionOutcomeView(
                    past.version, past.state, past.detail, past.author, past.written_at
                )
                for past in history
            ),
        )

    async def _publish_contract(self, request: Request) -> Response:
        customer = request.path.removeprefix('/v1/contracts/')
        try:
            body = decode_json(request.body, PublishBody)
            contract = load_contract(bytes(body.contract))
        except JsonError as error:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        except ContractError as error:
            raise not_run_error(HTTP_INVALID, 'bad-contract', f'{error}') from error
        if contract.customer != customer:
            raise not_run_error(
                HTTP_INVALID,
                'bad-contract',
                f'customer: {contract.customer!r} is not the {clip_text(customer)!r} of the path',
            )
        self._check_contract_version(contract.version, body.replaces)
        outcome = await self._publisher.publish_contract(contract, body.replaces, body.author)
        return json_response(PublishResult(customer, outcome.version, outcome.state))

    def _check_contract_version(self, version: int, replaces: int) -> None:
        if version > replaces:
            return
        raise not_run_error(
            HTTP_INVALID,
            'bad-contract',
            f'version: {version} is not above {replaces}, the one it replaces',
        )

    async def _handle_drain_request(self, request: Request) -> Response:
        try:
            body = decode_json(request.body or b'{}', DrainBody)
        except JsonError as error:
            raise not_run_error(HTTP_BAD_REQUEST, 'bad-body', f'{error}') from error
        if body.endpoint:
            return self._drain_endpoint(body.endpoint)
        await self._lifecycle.request_stop()
        return json_response(Acknowledgement('this daemon drains and stops'), HTTP_ACCEPTED)

    def _drain_endpoint(self, name: str) -> Response:
        known = {runner.entry.name for runner in self._pool.runners()}
        if name not in known:
            raise self._unknown_endpoint_error(name)
        self._pool.drain_endpoint(name)
        return json_response(Acknowledgement(f'{name} gets no new work'), HTTP_ACCEPTED)

    def _unknown_endpoint_error(self, name: str) -> RequestError:
        return not_run_error(
            HTTP_NOT_FOUND,
            'unknown-endpoint',
            f'no endpoint {clip_text(name)!r} in zone {self._settings.availability_zone}',
        )
