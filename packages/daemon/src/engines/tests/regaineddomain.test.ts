/** A planner that gets a domain back orders no head to leave that another planner has opened meanwhile. */
import type { GroupMembership } from "@damaskvale/core";
import { expect } from "chai";
import { PlannedDomain } from "./planneddomain.js";

const SIZE = 2;
const SERVED_MILLISECONDS = 3_000;
const OTHER_OWNER_MILLISECONDS = 20_000;
/** A host counts as unreachable after some reports that it does not send, and its group is dissolved. */
const UNREACHABLE_MILLISECONDS = 2_000;
/** Number of orders that a member and the head of an open group have accepted. */
const JOINED = 1;
const OPENED = 2;
/** The same for hosts that have been in groups of both owners. */
const LATER = 12;
/** Groups of the other owner: the hosts are those that were free before. */
const GROUP = { group: "d~m~3.50.2", epoch: 50 };

const memberships: readonly GroupMembership[] = [
    { ...GROUP, rank: 0, state: "open" },
    { ...GROUP, rank: 1, state: "ready" },
];

/** Which hosts have written their entries when the domain comes back, and how old their reports are. */
const cases: readonly { readonly written: readonly string[]; readonly reportAgeMilliseconds: number; }[] = [
    { written: ["a", "b"], reportAgeMilliseconds: 0 },
    { written: ["a", "b"], reportAgeMilliseconds: 300 },
    { written: ["a"], reportAgeMilliseconds: 0 },
    { written: ["a"], reportAgeMilliseconds: 300 },
    { written: ["b"], reportAgeMilliseconds: 300 },
    { written: [], reportAgeMilliseconds: 300 },
];

describe("planner that gets a domain back", () => {
    let domain: PlannedDomain;
    afterEach(() => domain.stop());

    cases.forEach(({ written, reportAgeMilliseconds }) =>
        it(`keeps a group formed meanwhile whose entries of ${written.join() || "no host"} are written, reports ${reportAgeMilliseconds} ms old`, async () => {
            const ids = ["a", "b"];
            domain = new PlannedDomain({ ids, startedAt: 7, reportAgeMilliseconds });
            domain.holdsOrders = true;
            domain.start(SIZE);
            await domain.clock.tickAsync(SERVED_MILLISECONDS);
            domain.fencingToken = undefined;
            await domain.clock.tickAsync(OTHER_OWNER_MILLISECONDS);
            ids.forEach((id, rank) => domain.engine(id).set(memberships[rank], "a", rank === 0 ? OPENED : JOINED));
            domain.state.applyTargets(written.map(id => ({ key: id, value: domain.engine(id).entry() })));
            domain.holdsOrders = false;
            domain.fencingToken = 4;
            await domain.clock.tickAsync(SERVED_MILLISECONDS);
            expect(ids.flatMap(id => domain.engine(id).counted)).to.deep.equal([]);
            expect(domain.engine("a").membership?.state).to.equal("open");
        })
    );

    it("keeps a group whose member did not respond in an earlier term", async () => {
        const ids = ["a", "b"];
        domain = new PlannedDomain({ ids, startedAt: 7 });
        domain.start(SIZE);
        await domain.clock.tickAsync(SERVED_MILLISECONDS);
        domain.engine("b").isCutOff = true;
        domain.suspect("a");
        await domain.clock.tickAsync(UNREACHABLE_MILLISECONDS);
        domain.fencingToken = undefined;
        domain.engine("b").isCutOff = false;
        ids.forEach((id, rank) => domain.engine(id).set(memberships[rank], "a", LATER));
        domain.state.applyTargets(ids.map(id => ({ key: id, value: domain.engine(id).entry() })));
        const before = ids.map(id => domain.engine(id).counted.length);
        await domain.clock.tickAsync(OTHER_OWNER_MILLISECONDS);
        domain.suspect("a");
        domain.engine("b").reportsToMiss = 1;
        domain.fencingToken = 4;
        await domain.clock.tickAsync(SERVED_MILLISECONDS);
        expect(ids.map(id => domain.engine(id).counted.length)).to.deep.equal(before);
    });
});
