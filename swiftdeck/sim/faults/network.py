"""Faults of the network: cuts between processes, lost datagrams and late messages."""

from swiftdeck.sim.faults.injector import FaultGroup


class NetworkFaults(FaultGroup):
    """Cuts around routers and cores, lost datagrams and late messages."""

    def cut_router(self):
        """Cut a core or a router off, in most cases in both directions."""
        address = self.injector.address(self.injector.pick(self.cluster.addresses))
        self.injector.cut([address], self.random.random() < 0.7)

    def cut_core(self):
        """Cut one or two cores off, along with some of the routers."""
        cores = sorted(name for name in self.cluster.addresses if name.startswith("core"))
        names = self.random.sample(cores, self.random.choice([1, 1, 2]))
        routers = sorted(name for name in self.cluster.addresses if name.startswith("router"))
        names = names + self.random.sample(routers, self.random.randint(0, len(routers) // 2))
        addresses = [self.injector.address(name) for name in names]
        self.injector.cut(addresses, self.random.random() < 0.7)

    def one_way(self):
        """Lose what one core or router sends, while it still receives from the others."""
        name = self.injector.pick(self.cluster.addresses)
        self.injector.cut([self.injector.address(name)], False)

    def lose_datagrams(self):
        """Set the share of datagrams that is lost from now on, maybe none."""
        self.cluster.world.net.loss_rate = self.random.choice([0.0, 0.1, 0.4])

    def delay_messages(self):
        """Set the share of messages between processes that is late from now on, maybe none."""
        late = self.cluster.late
        late.share = self.random.choice([0.0, 0.02, 0.1, 0.3])
        self.injector.log(f"late {late.share}")
