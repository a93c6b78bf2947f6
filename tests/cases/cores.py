"""Cases of founding, joining and losing cores, for sites of one, three and five."""

import unittest

from swiftdeck.bench.checker import check
from swiftdeck.chain.agreement import ids
from swiftdeck.http.client import fetchJson
from swiftdeck.sim.town import Town


class CoresCase(unittest.TestCase):
    """Views that are founded from the settings, grow and are mended."""

    def town(self, cores=5, seed=1, **more):
        borne = {"lossesBorne": (cores - 1) // 2, "cores": cores}
        return Town(
            seed,
            **({"routers": 2, "workers": 1, "cores": cores, "names_founders": True} | borne | more),
        )

    def started(self, cores=5, seed=1, **more):
        town = self.town(cores, seed, **more).start()
        self.settle(town)
        return town

    def is_settled(self, town, names=None):
        """Whether these cores are the members and the voters, whole and serving."""
        cores = [town.up[name] for name in names or town.coreNames()]
        wanted = {core.agreement.coreId for core in cores}
        return all(
            set(ids(core.agreement.decided.members)) == wanted
            and core.agreement.isVoter()
            and core.chain.isWhole()
            and core.agreement.mayServe()
            for core in cores
        )

    def settle(self, town, names=None, limit_s=30):
        """How long it takes until these cores are the chain."""
        start_s = town.world.now
        town.world.run(0.01)
        self.assertTrue(
            town.world.run(until=lambda: self.is_settled(town, names), limitS=limit_s),
            self.told(town),
        )
        return town.world.now - start_s

    def told(self, town):
        return [
            (
                name,
                core.agreement.decided.number,
                core.agreement.position(),
                core.agreement.isVoter(),
                core.chain.isWhole(),
                core.agreement.mayServe(),
            )
            for name, core in town.up.items()
            if name in town.coreNames()
        ]

    def cap(self, number):
        return {"models": {"screener": {"cap": number}}}

    def insist(self, town, number, name=None):
        """Send one change until it is acknowledged; gives how long that took."""
        base, start_s = town.version, town.world.now
        for _ in range(20):
            got = town.change("PATCH", self.cap(number), base, name, changeId=f"insist-{number}")
            if got and got[0] == 200:
                return town.world.now - start_s
            self.assertNotIn(got[0] if got else 0, (409, 422), got)
        self.fail(f"never acknowledged: {got}")

    def read(self, town, name=None):
        got = town.ask("GET", "/v1/config", name=name)
        return got[0] == 200 and (
            got[1]["version"],
            got[1]["document"]["models"]["screener"]["cap"],
        )

    def ips(self, town, names):
        return [town.addresses[name]["inner"].rpartition(":")[0] for name in names]

    def lose(self, town, names, wiped=False):
        for name in names:
            town.world.kill(name, silent=True)
            town.folders[name].losePower()
            if wiped:
                town.folders[name].wipe()

    def voters_known(self, town):
        return {name: len(town.up[name].agreement.decided.voters) for name in town.coreNames()}

    def testFiveCoresAreFoundedByThreeAndAllJoinAndVote(self):
        town = self.town()
        for name in ("core1", "core2"):
            town.startCore(name)
        town.world.run(3)
        self.assertEqual(
            {town.up[name].agreement.decided.number for name in ("core1", "core2")}, {0}
        )
        for name in ("core3", "core4", "core5"):
            town.startCore(name)
        town.world.run(0.01)
        self.assertTrue(
            town.world.run(until=lambda: self.is_settled(town), limitS=8), self.told(town)
        )
        self.assertEqual(set(self.voters_known(town).values()), {5})

    def testTwoOfFiveAreLostAtOnceInAnyPlacesAndComeBackWithTheirDisks(self):
        for seed, places in enumerate([(0, 1), (0, 4), (3, 4), (1, 3)], 1):
            town = self.started(seed=seed)
            order = [
                next(name for name in town.coreNames() if town.up[name].agreement.position() == at)
                for at in range(5)
            ]
            lost = [order[at] for at in places]
            self.assertEqual(town.change("PATCH", self.cap(7))[0], 200)
            self.lose(town, lost)
            near = town.coreNames()[0]
            self.assertLess(self.insist(town, 8, near), 7)
            self.assertTrue(town.call("saga", "check", ["b", "x"])["whole"])
            for name in lost:
                town.startCore(name)
            self.settle(town)
            self.assertEqual(self.read(town, lost[0]), (town.version, 8))
            self.assertEqual(check(town.records), {})

    def testTwoOfFiveAreWipedAtOnceAndTheirPlacesAreTakenInTime(self):
        for seed in (1, 2):
            town = self.started(seed=seed)
            self.assertEqual(town.change("PATCH", self.cap(7))[0], 200)
            lost = ["core1", "core4"] if seed == 1 else ["core2", "core3"]
            self.lose(town, lost, wiped=True)
            near = town.coreNames()[0]
            town.world.run(0.3 if seed == 1 else 5)
            for name in lost:
                town.startCore(name)
            self.assertLess(self.joined(town, lost), 4)
            others = [name for name in town.coreNames() if name not in lost][:2]
            self.lose(town, others, wiped=True)
            self.assertLess(self.insist(town, 9, lost[0]), 7)
            self.assertEqual(self.read(town, lost[0]), (town.version, 9))
            self.assertNotIn(near if near in others else "", town.coreNames())

    def joined(self, town, names):
        """How long until these cores are whole members and voters."""
        start_s = town.world.now

        def is_in(core):
            return (
                core.agreement.position() >= 0 and core.agreement.isVoter() and core.chain.isWhole()
            )

        town.world.run(0.01)
        self.assertTrue(
            town.world.run(until=lambda: all(is_in(town.up[name]) for name in names), limitS=30),
            self.told(town),
        )
        return town.world.now - start_s

    def testAWipedCoreJoinsInTimeAlsoWhenAnotherIsJustLost(self):
        for cores, seed in ((3, 1), (3, 2), (5, 1), (5, 2)):
            for delay_s in (0.05, 1.0, 4.0):
                town = self.started(cores, seed)
                self.lose(town, ["core1"], wiped=True)
                town.world.run(delay_s)
                town.startCore("core1")
                if cores == 5:
                    self.lose(town, ["core2"])
                self.assertLess(self.joined(town, ["core1"]), 4, (cores, seed, delay_s))
                self.assertEqual(
                    town.up["core1"].agreement.decided.number,
                    town.up["core3"].agreement.decided.number,
                )

    def testACutOfTwoFromThreeLeavesTheThreeServing(self):
        town = self.started(routers=3)
        far, near = ["core1", "core2"], ["core3", "core4", "core5"]
        rest = [name for name in town.addresses if name not in far]
        town.world.net.cut(self.ips(town, far), self.ips(town, rest))
        self.assertLess(self.insist(town, 9, "core3"), 8)
        for name in far:
            self.assertFalse(town.up[name].chain.mayTell())
        town.world.net.heal()
        self.settle(town)
        self.assertEqual(self.read(town, "core1"), (town.version, 9))
        town.world.net.cut(self.ips(town, near), self.ips(town, far))
        town.world.run(10)
        self.assertEqual(
            [name for name in town.coreNames() if town.up[name].chain.mayTell()],
            [name for name in near if town.up[name].chain.isLast()],
        )
        town.world.net.heal()
        self.settle(town)

    def testAllAreKilledAndAllLosePower(self):
        for cores in (3, 5):
            for torn in (None, 5):
                town = self.started(cores)
                self.assertEqual(town.change("PATCH", self.cap(11))[0], 200)
                names = town.coreNames()
                for name in names:
                    town.world.kill(name)
                for name in names:
                    if torn:
                        town.folders[name].losePower(torn=torn)
                    town.startCore(name)
                self.settle(town)
                self.assertEqual(self.read(town), (town.version, 11))

    def testFewerMembersThanLossesBorneAndOneAcknowledgeNothing(self):
        town = self.started()
        self.lose(town, ["core3", "core4", "core5"])
        self.assertNotEqual(
            town.change("PATCH", self.cap(10), name="core1", changeId="insist-10")[0], 200
        )
        for name in ("core3", "core4"):
            town.startCore(name)
        self.insist(town, 10, "core1")
        self.assertEqual(self.read(town), (town.version, 10))

    def testOneCoreFoundsAndServesAndKeepsItsState(self):
        town = self.town(1).start()
        self.assertEqual(town.change("PATCH", self.cap(9))[0], 200)
        town.world.kill("core1")
        town.folders["core1"].losePower()
        town.startCore("core1")
        self.insist(town, 10)
        self.assertEqual(self.read(town), (town.version, 10))

    def testASeedMachineIsReplacedAtANewAddressAndTheSeedsAreExchanged(self):
        for name in ("core1", "core3"):
            town = self.started(3)
            self.assertEqual(town.change("PATCH", self.cap(9))[0], 200)
            self.lose(town, [name], wiped=True)
            town.addresses[name] |= {
                "inner": f"{town.ip('fresh')}:7000",
                "http": f"{town.ip('fresh')}:8000",
            }
            town.seeds = [core["inner"] for core in town.site.cores]
            town.startCore(name)
            for other in ("core1", "core2", "core3", "router1", "router2"):
                if other != name:
                    town.up[other].membership.setSeeds(town.seeds)
            self.assertLess(self.joined(town, [name]), 4)
            self.settle(town)
            town.world.run(4)
            self.lose(town, ["core2"], wiped=True)
            self.insist(town, 10, name)
            self.assertEqual(self.read(town, name), (town.version, 10))

    def testWipedRightAfterAnAcknowledgementWhileTheOthersLosePower(self):
        for cores in (3, 5):
            for place in range(cores):
                town = self.started(cores)
                self.assertEqual(town.change("PATCH", self.cap(12))[0], 200)
                names = sorted(
                    town.coreNames(), key=lambda name: town.up[name].agreement.position()
                )
                for name in names:
                    town.world.kill(name)
                    town.folders[name].losePower(torn=3)
                town.folders[names[place]].wipe()
                if cores == 5:
                    town.folders[names[(place + 2) % 5]].wipe()
                for name in names:
                    town.startCore(name)
                self.settle(town)
                self.assertEqual(self.read(town), (town.version, 12), (cores, place))

    def testAnAnswerOfTheTailWaitsForItsOwnDisk(self):
        town = self.started(3)
        names = sorted(town.coreNames(), key=lambda name: town.up[name].agreement.position())
        town.folders[names[2]].stallS = 0.9
        at_s = town.world.now
        self.assertEqual(town.change("PATCH", self.cap(13), name=names[0])[0], 200)
        self.assertGreater(town.world.now - at_s, 0.9)

    def tells_while_tail_syncs(self, town, head, tail):
        """Change the configuration through a head while the tail's disk is slow; gives the newest version told meanwhile."""
        town.folders[tail].stallS = 0.9
        town.spawn(
            lambda: fetchJson(
                town.addresses[head]["http"],
                "PATCH",
                f"/v1/config?base={town.version}",
                self.cap(14),
                timeoutMs=800,
            )
        )
        told = []
        for _ in range(7):
            town.world.run(0.1)
            told.append(self.read(town, tail)[0])
        return max(*told, *(town.up[name].licence.held.version for name in town.routerNames()))

    def serves_again(self, town):
        """Whether all routers hold a licence once more within the time that they need for one."""
        return town.world.run(
            until=lambda: all(town.up[name].licence.isHeld() for name in town.routerNames()),
            limitS=10,
        )

    def testACoreAloneTellsNoVersionThatThePowerMayTakeBack(self):
        town = self.started(1)
        told = self.tells_while_tail_syncs(town, "core1", "core1")
        town.world.kill("core1")
        town.folders["core1"].losePower()
        town.folders["core1"].stallS = 0.0
        town.startCore("core1")
        town.world.run(5)
        self.assertTrue(self.serves_again(town))
        self.assertLessEqual(told, self.read(town)[0])

    def testTheTailOfTwoTellsNoVersionThatItsPowerMayTakeBackWithTheOtherWiped(self):
        town = self.started(3)
        head, other, tail = sorted(
            town.coreNames(), key=lambda name: town.up[name].agreement.position()
        )
        self.lose(town, [other])
        self.settle(town, [head, tail])
        told = self.tells_while_tail_syncs(town, head, tail)
        self.lose(town, [head], wiped=True)
        self.lose(town, [tail])
        town.folders[tail].stallS = 0.0
        for name in (head, other, tail):
            town.startCore(name)
        town.world.run(5)
        self.assertTrue(self.serves_again(town))
        self.assertLessEqual(told, self.read(town)[0])

    def testACoreAloneAcknowledgesAfterTheSetTimeToo(self):
        town = self.started(1, ackWaitMs=300)
        town.world.freeze("router2")
        self.assertLess(self.insist(town, 11), 0.6)

    def testACoreKilledBeforeTheFirstViewStillFounds(self):
        town = self.town(3)
        for name in ("core1", "core2"):
            town.startCore(name)
        town.world.run(2)
        town.world.kill("core1")
        town.is_first_start = False
        town.startCore("core1")
        town.world.run(1)
        town.is_first_start = True
        town.startCore("core3")
        self.settle(town)

    def testAFounderThatIsReplacedBeforeTheFirstViewHoldsNobodyUp(self):
        town = self.town(3)
        for name in ("core1", "core2"):
            town.startCore(name)
        town.world.run(2)
        town.is_first_start = False
        town.startCore("core3")
        self.settle(town)

    def testFreshCoresThatMayNotFoundNeverDo(self):
        town = self.town(3)
        town.is_first_start = False
        for node in town.site.cores:
            town.startCore(node["name"])
        town.world.run(20)
        self.assertEqual({town.up[name].agreement.decided.number for name in town.coreNames()}, {0})

    def testAWipedCoreHelpsNoneThatMissedTheFirstViewToFoundAnother(self):
        town = self.town(3)
        for name in ("core1", "core2", "core3"):
            town.startCore(name)
        town.world.run(0.02)
        agreements = [town.up[name].agreement for name in town.coreNames()]
        town.world.run(until=lambda: any(each.decided.number for each in agreements), limitS=10)
        knowing = next(name for name in town.coreNames() if town.up[name].agreement.decided.number)
        unknowing = [
            name for name in town.coreNames() if not town.up[name].agreement.decided.number
        ]
        town.is_first_start = False
        for name in town.coreNames():
            town.world.kill(name)
        if unknowing:
            for name in [knowing, *unknowing[1:]]:
                town.folders[name].wipe()
                town.startCore(name)
            town.startCore(unknowing[0])
            town.world.run(15)
            founded = {
                tuple(ids(town.up[name].agreement.decided.members)) for name in town.coreNames()
            }
            self.assertLessEqual(len(founded - {()}), 1)

    def testASpareMemberTakesALostVotersPlace(self):
        town = self.town(4, lossesBorne=1).start()
        self.assertTrue(
            town.world.run(
                until=lambda: all(
                    len(town.up[name].agreement.decided.members) == 4 for name in town.coreNames()
                ),
                limitS=10,
            )
        )
        self.assertEqual(set(self.voters_known(town).values()), {3})
        voters = [ref.coreId for ref in town.up["core1"].agreement.decided.voters]
        name = next(name for name in town.coreNames() if town.up[name].agreement.coreId in voters)
        self.lose(town, [name])
        town.world.run(12)
        self.assertTrue(all(town.up[name].agreement.isVoter() for name in town.coreNames()))

    def testAFrozenCoreIsLeftOutAndComesBack(self):
        for place in (0, 1, 2):
            town = self.started(3)
            name = next(
                name for name in town.coreNames() if town.up[name].agreement.position() == place
            )
            near = next(other for other in town.coreNames() if other != name)
            town.world.freeze(name)
            town.world.at(3.0, lambda: town.world.thaw(name))
            self.assertLess(self.insist(town, 5, near), 6.5 if place == 2 else 2.5)
            self.settle(town)
            self.assertEqual(check(town.records), {})
