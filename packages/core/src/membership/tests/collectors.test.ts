/** All daemons of a data centre report to the same two collectors, and to others when these fall silent. */
import { expect } from "chai";
import { createCollectorChooser } from "../collectors.js";

const daemons = Array.from({ length: 39 }, (...[, index]) => ({
    daemon: `d${index}`,
    dataCentre: index % 3 === 0 ? "a" : "b",
}));
const heard = (): boolean => false;

describe("collectors of a data centre", () => {
    it("are the same two for every daemon, whatever the order of its list", () => {
        const chosen = createCollectorChooser().choose("a", daemons, heard);
        expect(chosen).to.have.length(2);
        expect(createCollectorChooser().choose("a", [...daemons].reverse(), heard)).to.deep.equal(chosen);
    });

    it("are of this data centre", () => {
        const local = daemons.filter(({ dataCentre }) => dataCentre === "a").map(({ daemon }) => daemon);
        expect(local).to.include.members(createCollectorChooser().choose("a", daemons, heard));
    });

    it("have the best links", () => {
        const [first = "", second = ""] = createCollectorChooser().choose("a", daemons, heard);
        const uneven = daemons.map(daemon => ({
            ...daemon,
            linkMegabits: [first, second].includes(daemon.daemon) ? 14 : 140,
        }));
        expect(createCollectorChooser().choose("a", uneven, heard)).to.not.include.members([first, second]);
        const onlySmall = uneven.map(daemon => ({ ...daemon, linkMegabits: 14 }));
        expect(createCollectorChooser().choose("a", onlySmall, heard)).to.deep.equal([first, second]);
    });

    it("are replaced one by one", () => {
        const chooser = createCollectorChooser();
        const [first = "", second] = chooser.choose("a", daemons, heard);
        const next = chooser.choose("a", daemons, daemon => daemon === first);
        expect(next[0]).to.equal(second);
        expect(next).to.have.length(2).and.not.include(first);
    });

    it("follow a new list of daemons", () => {
        const chooser = createCollectorChooser();
        chooser.choose("a", daemons, heard);
        expect(chooser.choose("a", [{ daemon: "new", dataCentre: "a" }], heard)).to.deep.equal(["new"]);
    });
});
