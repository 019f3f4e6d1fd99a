/**
 * Bytes that were held for callers were bounded for each request but not in all, so that a crowd of callers exhausted the
 * memory of a daemon.
 */
import { expect } from "chai";
import { type CallerAccount, callerBoundsFor, createCallerAccount } from "../account.js";

const BOUNDS = { bytes: 1_000_000, waitBytes: 800_000, smallBytes: 65_536, connections: 10 };

function accountWith(connections: number): CallerAccount<number> {
    const account = createCallerAccount<number>(BOUNDS);
    for (let id = 0; id < connections; id += 1) {
        account.open(id, 0);
    }
    return account;
}

describe("account of what is held for callers", () => {
    it("follows from the memory of the daemon, and lets callers within the usual limits pass", () => {
        const { bytes, connections } = callerBoundsFor(250);
        expect([bytes, connections]).to.deep.equal([31_457_280, 2_000]);
        expect(callerBoundsFor(10).bytes).to.equal(16_777_216);
        const account = createCallerAccount<number>(callerBoundsFor(250));
        for (let id = 0; id < 500; id += 1) {
            account.open(id, 0);
            account.update(id, { requests: 1, outputBytes: 20_000 });
        }
        expect([account.reserveBody(0, 4_194_304), account.nextToClose(100_000)]).to.deep.equal(["granted", undefined]);
    });

    it("is empty again once all connections are closed", () => {
        const account = accountWith(3);
        account.update(0, { requests: 3, inputBytes: 10, outputBytes: 20 });
        account.reserveBody(1, 50_000);
        account.reserveBody(1, 40_000);
        [0, 1, 2, 2].forEach(id => account.close(id));
        expect([account.totalBytes(), account.connections()]).to.deep.equal([0, 0]);
    });

    it("makes large bodies wait before the bound, and takes small ones until then", () => {
        const account = accountWith(3);
        expect(account.reserveBody(0, 700_000)).to.equal("granted");
        expect(account.reserveBody(1, 200_000)).to.equal("wait");
        expect(account.reserveBody(2, 60_000)).to.equal("granted");
        account.close(0);
        expect(account.reserveBody(1, 200_000)).to.equal("granted");
    });

    it("refuses a body that never fits", () => {
        expect(accountWith(1).reserveBody(0, 800_001)).to.equal("refused");
    });

    it("closes the connection that holds most and makes least progress", () => {
        const account = accountWith(3);
        account.reserveBody(0, 400_000);
        account.reserveBody(1, 300_000);
        account.recordProgress(0, 900);
        account.update(2, { inputBytes: 400_000 });
        account.recordProgress(2, 1_000);
        expect(account.nextToClose(1_000)).to.equal(1);
        account.close(1);
        expect(account.nextToClose(1_000)).to.equal(undefined);
        expect(account.nextToClose(1_000, 500_000)).to.equal(0);
    });

    it("closes none whose request a target may run, unless its caller doesn't take the response", () => {
        const account = accountWith(1);
        account.update(0, { inputBytes: 2_000_000, requests: 1 });
        account.setRunning(0, true);
        expect(account.nextToClose(60_000)).to.equal(undefined);
        account.update(0, { outputBytes: 1 });
        account.recordProgress(0, 59_500);
        expect(account.nextToClose(60_000)).to.equal(undefined);
        expect(account.nextToClose(61_000)).to.equal(0);
    });

    it("closes the connection that has been idle for longest when there are too many", () => {
        const account = createCallerAccount<number>(BOUNDS);
        for (let id = 0; id <= BOUNDS.connections; id += 1) {
            account.open(id, id);
        }
        expect(account.nextToClose(100)).to.equal(0);
        account.close(0);
        expect(account.nextToClose(100)).to.equal(undefined);
    });

    it("stays within its bound for any order of reservations if the connections that it names are closed", () => {
        let seed = 7;
        const random = (): number => {
            seed = (seed * 48_271) % 2_147_483_647;
            return seed / 2_147_483_647;
        };
        const account = accountWith(10);
        for (let now = 0; now < 5_000; now += 1) {
            const id = Math.floor(random() * 10);
            if (random() < 0.5) {
                account.reserveBody(id, Math.floor(random() * 300_000));
            }
            else {
                account.update(id, { inputBytes: Math.floor(random() * 65_536), requests: Math.floor(random() * 4) });
            }
            for (let worst = account.nextToClose(now); worst !== undefined; worst = account.nextToClose(now)) {
                account.close(worst);
                account.open(worst, now);
            }
            expect(account.totalBytes()).to.be.at.most(BOUNDS.bytes);
        }
    });
});
