import { expect } from "chai";
import { rendezvous } from "../rendezvous.js";

const names = Array.from(Array(9).keys(), index => `daemon-${index}`);
const keys = Array.from(Array(900).keys(), index => `host-${index}`);

describe("rendezvous", () => {
    it("does not depend on the order of the names", () => {
        expect(rendezvous("key", [...names].reverse(), 3)).to.deep.equal(rendezvous("key", names, 3));
    });

    it("moves only the keys of a removed name, and distributes keys evenly", () => {
        const left = names.slice(1);
        const moved = keys.filter(key => rendezvous(key, names, 1)[0] !== rendezvous(key, left, 1)[0]);
        expect(moved.every(key => rendezvous(key, names, 1)[0] === names[0])).to.equal(true);
        expect(moved.length).to.be.within(70, 130);
    });
});
