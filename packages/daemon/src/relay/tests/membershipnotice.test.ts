/** Which memberships are sent to all other daemons at once. */
import type { GroupMembership, Target } from "@damaskvale/core";
import { expect } from "chai";
import { createMembershipNotice } from "../membershipnotice.js";
import type { ReportedMembership } from "../statetypes.js";

const membership = (state: GroupMembership["state"], rank = 0): GroupMembership => ({
    group: "group-1",
    epoch: 1,
    rank,
    state,
});

const cases: readonly {
    readonly name: string;
    readonly known?: GroupMembership;
    readonly reported?: GroupMembership;
    readonly isSent: boolean;
}[] = [
    { name: "a head that joins", reported: membership("joining"), isSent: false },
    { name: "a head that is ready", known: membership("joining"), reported: membership("ready"), isSent: false },
    { name: "a head that begins to serve", known: membership("ready"), reported: membership("open"), isSent: true },
    { name: "a head that stops to serve", known: membership("open"), reported: membership("closing"), isSent: true },
    { name: "a head that left its group", known: membership("open"), isSent: true },
    { name: "another member", known: membership("ready", 3), reported: membership("broken", 3), isSent: false },
];

describe("notice of a membership", () => {
    cases.forEach(({ name, known, reported, isSent }) =>
        it(`${isSent ? "is" : "is not"} sent for ${name}`, () => {
            const applied: ReportedMembership[] = [];
            const sent: ReportedMembership[] = [];
            const notice = createMembershipNotice({
                applyMembership: change => void applied.push(change),
                targetById: () => ({ membership: known }) as Target,
            }, change => void sent.push(change));
            notice({ host: "host-1", membership: reported });
            expect(applied.length).to.equal(1);
            expect(sent.length).to.equal(isSent ? 1 : 0);
        })
    );
});
