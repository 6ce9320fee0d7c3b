"""Configuration distribution: keeps a node at the newest generation."""

from concurrent import futures
import random
import threading
from typing import Final

from absl import logging

from lycheestair import boot as boot_lib
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import distribution_pb2 as pb
from lycheestair import distribution_pb2_grpc
from lycheestair import distribution_service
from lycheestair import fanout
from lycheestair import feeder as feeder_lib
from lycheestair import fetcher as fetcher_lib
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import membership as membership_lib
from lycheestair import pusher as pusher_lib
from lycheestair import replica as replica_lib
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib
from lycheestair import traffic as traffic_lib

EXCHANGE: Final = traffic_lib.PeerMethod(
    "/lycheestair.distribution.Distribution/Exchange", "exchange"
)
OFFER: Final = traffic_lib.PeerMethod(EXCHANGE.path, "offer")
EXCHANGE_TIMEOUT_S: Final = 0.5
OFFER_THREADS: Final = 4
MAX_OFFER_ATTEMPTS: Final = 3


class Distributor:
    """Distributes configuration generations from and to one node.

    Combines the feeder, pushes along the tree, periodic exchanges with peers
    (anti-entropy) and the boot sequence.

    Attributes:
      conflicts: Number of exchanges in which a peer reported a different
        digest for the same generation. It stays 0 unless the store or a node is
        faulty.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        channels: control.PeerChannels,
        configuration: configuration_lib.ActiveConfiguration,
        membership: membership_lib.GossipMembership,
        store: store_lib.Store,
    ):
        self._settings = settings
        self._membership = membership
        self.conflicts = 0
        self._replica = replica_lib.Replica(configuration)
        self._pusher = pusher_lib.Pusher(settings, membership, self._replica)
        self._fetcher = fetcher_lib.Fetcher(
            membership, self._replica, self._pusher
        )
        self._feeder = feeder_lib.Feeder(
            settings, membership, store, self._replica, self._pusher
        )
        self._boot = boot_lib.Boot(
            settings,
            membership,
            store,
            self._replica,
            self._fetcher,
            self._exchange,
        )
        self._offer_executor = futures.ThreadPoolExecutor(
            OFFER_THREADS, thread_name_prefix="offer"
        )
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="exchange", daemon=True
        )
        membership.subscribe_generations(self._schedule_fetch)

    @property
    def is_feeder(self) -> bool:
        """Whether this node is the feeder of its region."""
        return self._feeder.holds_lease

    def register(self, server: control.ControlServer) -> None:
        """Registers the distribution service with the control server."""
        servicer = distribution_service.DistributionServicer(
            self._settings,
            self._membership,
            self._replica,
            self._pusher,
            self._fetcher,
            self._add_report_fields,
        )
        server.register(
            lambda s: distribution_pb2_grpc.add_DistributionServicer_to_server(
                servicer, s
            )
        )

    def boot(self) -> bool:
        """Blocks until the newest known generation is active or boot times out.

        Returns:
          Whether a peer or the store answered before the boot timeout.
        """
        return self._boot.run()

    def start(self) -> None:
        """Starts the feeder, pushes, fetches and periodic exchanges."""
        self._pusher.start()
        self._fetcher.start()
        self._feeder.start()
        self._thread.start()

    def stop(self) -> None:
        """Stops distribution and releases the feeder lease."""
        self._stop.set()
        self._feeder.stop()
        self._fetcher.stop()
        self._pusher.stop()
        self._offer_executor.shutdown(wait=False, cancel_futures=True)

    def publish(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Activates a generation accepted by this node and distributes it.

        The generation is offered to one node of each other region. Usually the
        feeder of that region has it from the store already. Otherwise the node
        that received the offer fetches it and pushes it through its region. In
        both cases, only one copy is sent into the region.

        Within the local region, this node pushes the generation if it is the
        feeder, else it offers the generation to one node.
        """
        previous_generation = self._replica.current.generation
        self._replica.activate(snapshot)
        live = self._membership.read_live()
        own = self._membership.read_self()
        branches = fanout.make_region_branches(live, own.region)
        if self._feeder.holds_lease:
            self._pusher.push(fanout.FULL_RANGE, previous_generation)
        else:
            local_members = fanout.sort_by_hash(
                m for m in live if m.region == own.region
            )
            branches.append(
                fanout.Branch(tuple(local_members), fanout.HASH_SPACE_SIZE)
            )
        for branch in branches:
            self._offer_executor.submit(self._offer, branch)

    def _offer(self, branch: fanout.Branch) -> None:
        for member in branch.candidates[:MAX_OFFER_ATTEMPTS]:
            if self._exchange(member.control, member.region, offer=True):
                return

    def _run(self) -> None:
        distribution = self._settings.distribution
        period_s = distribution.exchange_period_ms / 1000
        while not self._stop.wait(period_s * random.uniform(0.75, 1.25)):
            peer = self._membership.choose_partner(
                distribution.cross_region_percent
            )
            if peer is not None:
                reply = self._exchange(peer.control, peer.region)
                if reply is not None:
                    self._process_exchange_reply(peer, reply)

    def _exchange(
        self,
        address: ids.Address,
        region: ids.Region | None,
        offer: bool = False,
    ) -> pb.ExchangeReply | None:
        current = self._replica.current
        return self._membership.caller.call(
            OFFER if offer else EXCHANGE,
            address,
            region,
            pb.ExchangeRequest(
                sender=self._settings.node.id,
                address=self._settings.control_address,
                generation=current.generation,
                digest=bytes.fromhex(current.digest),
                offer=offer,
            ),
            pb.ExchangeReply,
            EXCHANGE_TIMEOUT_S,
        )

    def _process_exchange_reply(
        self, peer: members_lib.Member, reply: pb.ExchangeReply
    ) -> None:
        current = self._replica.current
        if (
            reply.generation == current.generation
            and reply.digest != bytes.fromhex(current.digest)
        ):
            self.conflicts += 1
            logging.error(
                "node %s reports another digest for generation %d",
                peer.node_id,
                current.generation,
            )
        self._schedule_fetch(peer, ids.Generation(reply.generation))

    def _add_report_fields(self, report: pb.ReportReply) -> None:
        report.feeder = self._feeder.holds_lease
        report.conflicts = self.conflicts

    def _schedule_fetch(
        self, member: members_lib.Member, generation: ids.Generation
    ) -> None:
        self._fetcher.schedule(
            member.control,
            member.region,
            generation,
            fetcher_lib.EXCHANGE_GRACE_S,
            fetcher_lib.choose_push_ranges(
                member.region != self._settings.node.region
            ),
        )
