import { expect } from "chai";
import { applyEntry, initialFoldState } from "../../stream/fold.js";
import { decodeSnapshot, encodeSnapshot } from "../../stream/snapshot.js";
import type { FoldState } from "../../stream/types.js";
import { CLAIM_LIFETIME_MILLISECONDS, claimPartition, claimsFold, evaluateClaim } from "../fold.js";
import type { ClaimsState } from "../state.js";

const key = (claim: string) => ({ claim, team: "fees", keyHash: "a".repeat(64) });
const claims = (claim: string) => ({ claims: [{ ...key(claim), bodyHash: "b".repeat(64) }] });
const releases = (claim: string) => ({ releases: [key(claim)] });
const outcomes = (claim: string, status = 200) => ({ outcomes: [{ ...key(claim), status, outcome: "complete" }] });

interface Step {
    readonly body: object;
    readonly by?: string;
    readonly time?: number;
}

function fold(steps: readonly Step[], from = initialFoldState(claimsFold)): FoldState<ClaimsState> {
    return steps.reduce<FoldState<ClaimsState>>((folded, { body, by = "a", time = 0 }) => {
        const author = { daemon: by, incarnation: "1" };
        const offset = folded.nextOffset;
        const value = { version: 1, id: `r${offset}`, author, basis: 0, body: { kind: "claims", ...body } };
        return applyEntry(claimsFold, folded, { offset, time, value }).folded;
    }, from);
}

const judge = (folded: FoldState<ClaimsState>, claim?: string, bodyHash = "b".repeat(64)) =>
    evaluateClaim(folded.state, { ...key(claim ?? ""), claim, bodyHash }).kind;

describe("claims fold", () => {
    const late = CLAIM_LIFETIME_MILLISECONDS;
    const cases: { fault: string; steps: Step[]; claim?: string; kind: string; }[] = [
        {
            fault: "the holder does not see that it holds the key",
            steps: [{ body: claims("1") }],
            claim: "1",
            kind: "held",
        },
        {
            fault: "two claims hold the same key",
            steps: [{ body: claims("1") }, { body: claims("2") }],
            claim: "2",
            kind: "in-progress",
        },
        {
            fault: "the owner cannot release its claim",
            steps: [{ body: claims("1") }, { body: releases("1") }],
            kind: "absent",
        },
        {
            fault: "another daemon releases the claim",
            steps: [{ body: claims("1") }, { body: releases("1"), by: "b" }],
            kind: "in-progress",
        },
        {
            fault: "the release of an earlier claim is applied",
            steps: [{ body: claims("1") }, { body: releases("0") }],
            kind: "in-progress",
        },
        {
            fault: "a completed key is released",
            steps: [{ body: claims("1") }, { body: outcomes("1") }, { body: releases("1") }],
            kind: "completed",
        },
        {
            fault: "another daemon records the outcome",
            steps: [{ body: claims("1") }, { body: outcomes("1"), by: "b" }],
            kind: "in-progress",
        },
        {
            fault: "a key expires before the end of its lifetime",
            steps: [{ body: claims("1") }, { body: {}, time: late - 1 }],
            kind: "in-progress",
        },
        {
            fault: "a key never expires",
            steps: [{ body: claims("1") }, { body: {}, time: late }],
            kind: "absent",
        },
        {
            fault: "keys expire early when append times go backwards",
            steps: [{ body: {}, time: 5 }, { body: claims("1"), time: 1 }, { body: {}, time: late + 4 }],
            kind: "in-progress",
        },
        {
            fault: "a released key stops the expiry of later keys",
            steps: [{ body: claims("1") }, { body: releases("1") }, { body: claims("2") }, { body: {}, time: late }],
            kind: "absent",
        },
    ];

    cases.forEach(({ fault, steps, claim, kind }) => {
        it(`guards against: ${fault}`, () => {
            expect(judge(fold(steps), claim)).to.equal(kind);
        });
    });

    it("reports a key that is reused with a different body", () => {
        expect(judge(fold([{ body: claims("1") }]), "1", "c".repeat(64))).to.equal("mismatch");
    });

    it("encodes and expires keys the same after a snapshot is restored with other sequence numbers", () => {
        const before = fold([{ body: claims("1") }, { body: releases("1") }, { body: claims("2"), time: 3 }]);
        const decoded = decodeSnapshot(claimsFold, "claims.0", encodeSnapshot("claims.0", before)).unwrap();
        const rest = [{ body: {}, time: late + 3 }];
        expect(encodeSnapshot("claims.0", fold(rest, decoded))).to.deep.equal(
            encodeSnapshot("claims.0", fold(rest, before)),
        );
        expect(judge(before), "the older state is unchanged").to.equal("in-progress");
    });

    it("serializes keys in claim order after some were released", () => {
        const claim = (index: number) => ({
            claim: String(index),
            team: "fees",
            keyHash: index.toString(16).padStart(64, "0"),
        });
        const all = [...Array(40).keys()].toReversed();
        const state = fold([
            ...all.map(index => ({ body: { claims: [{ ...claim(index), bodyHash: "b".repeat(64) }] } })),
            { body: { releases: [claim(39), claim(20)] } },
        ]).state;
        const left = all.filter(index => index !== 39 && index !== 20);
        expect(state.toJSON().keys.map(held => Number(held.claim))).to.deep.equal(left);
    });

    it("distributes keys over all partitions", () => {
        const used = new Set([...Array(64).keys()].map(index => claimPartition("fees", String(index))));
        expect(used).to.deep.equal(new Set([0, 1, 2, 3]));
    });
});
