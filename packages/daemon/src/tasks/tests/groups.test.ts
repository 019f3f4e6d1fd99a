import { expect } from "chai";
import { fakeTable } from "./fakes.js";
import { TestDataCentre, type TestDataCentreOptions } from "./testdatacentre.js";

describe("groups task", () => {
    let dataCentre: TestDataCentre;
    const startDataCentre = async (options: TestDataCentreOptions, milliseconds = 5_000) => {
        dataCentre = new TestDataCentre(options);
        await dataCentre.run(milliseconds);
    };
    const members = () => Object.values(dataCentre.groups()).map(group => group.members.join(" "));
    const dispatchable = (daemon = "d1") =>
        dataCentre.daemonNamed(daemon).view.dispatchable("m").map(group => group.members.join(" "));

    afterEach(() => dataCentre.stop());

    it("forms a group, which becomes dispatchable", async () => {
        await startDataCentre({ hosts: ["a1", "a2"] });
        expect(dispatchable()).to.deep.equal(["a1 a2"]);
    });

    const losses: { fault: string; within: number; inject(): void; }[] = [
        { fault: "a silent member", within: 2_001, inject: () => dataCentre.engine("a2").silent = true },
        {
            fault: "a straggling member",
            within: 2_001,
            inject: () => dataCentre.engine("a2").reportDelayMilliseconds = 1_100,
        },
        {
            fault: "a member in another group",
            within: 510,
            inject: () => dataCentre.engine("a2").role = { group: "x", fence: 9 },
        },
        {
            fault: "a member with another fencing token",
            within: 510,
            inject: () => dataCentre.engine("a2").role!.fence = 99,
        },
    ];

    losses.forEach(({ fault, within, inject }) => {
        it(`stops dispatch to a group with ${fault} in time`, async () => {
            await startDataCentre({ hosts: ["a1", "a2"] });
            inject();
            await dataCentre.run(within);
            expect(dispatchable()).to.deep.equal([]);
        });
    });

    it("keeps a group during a short silence, dissolves it after the grace period, and uses the spare", async () => {
        await startDataCentre({ hosts: ["a1", "a2", "a3"] });
        dataCentre.engine("a2").silent = true;
        await dataCentre.run(4_000);
        expect(members()).to.deep.equal(["a1 a2"]);
        await dataCentre.run(6_000);
        expect(members()).to.deep.equal(["a1 a3"]);
        expect(dispatchable()).to.deep.equal(["a1 a3"]);
    });

    it("clears a host that returns with its old role before it is planned again", async () => {
        await startDataCentre({ hosts: ["a1", "a2", "a3"] });
        dataCentre.engine("a2").silent = true;
        await dataCentre.run(10_000);
        const before = dataCentre.engine("a2").executed.length;
        dataCentre.engine("a2").silent = false;
        dataCentre.engine("a3").silent = true;
        await dataCentre.run(12_000);
        expect(dataCentre.engine("a2").executed.slice(before).map(({ order }) => order)).to.deep.equal([
            "clear",
            "assign",
        ]);
        expect(dispatchable()).to.deep.equal(["a1 a2"]);
    });

    it("reads an order back when its answer is lost, instead of sending it twice", async () => {
        dataCentre = new TestDataCentre({ hosts: ["a1", "a2"] });
        dataCentre.engine("a1").loseNextAnswer = true;
        await dataCentre.run(8_000);
        expect(dataCentre.engine("a1").executed.length).to.equal(1);
        expect(dispatchable()).to.deep.equal(["a1 a2"]);
    });

    it("forms groups in other fabric domains when a whole domain is lost, with limited loads", async () => {
        const hosts = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"];
        await startDataCentre(
            { hosts, model: { replicas: 2, downtimeWeight: 0 }, groups: { maximumLoads: 2 } },
            10_000,
        );
        expect(members()).to.deep.equal(["a1 a2", "a3 a4"]);
        ["a1", "a2", "a3", "a4"].forEach(host => dataCentre.engine(host).silent = true);
        await dataCentre.run(15_000);
        expect(members().toSorted()).to.deep.equal(["b1 b2", "b3 b4"]);
        expect(dispatchable().length).to.equal(2);
    });

    it("neither forms nor dissolves groups while the platform is unreachable, and confirmed groups stay dispatchable", async () => {
        await startDataCentre({ hosts: ["a1", "a2", "b1", "b2", "b3"], model: { replicas: 2 } });
        expect(dispatchable().length).to.equal(2);
        dataCentre.daemonNamed("d1").stream.cut = true;
        dataCentre.listFails = true;
        dataCentre.engine("a1").silent = true;
        await dataCentre.run(60_000);
        expect(members().length).to.equal(2);
        expect(dispatchable().length).to.equal(1);
        dataCentre.daemonNamed("d1").stream.cut = false;
        dataCentre.daemonNamed("d1").stream.read();
        await dataCentre.run(10_000);
        expect(dispatchable().length).to.equal(2);
    });

    it("does not dissolve groups when it has lost its own network", async () => {
        await startDataCentre({ hosts: ["a1", "a2"] });
        dataCentre.engines.forEach(engine => engine.silent = true);
        await dataCentre.run(30_000);
        expect(members()).to.deep.equal(["a1 a2"]);
    });

    it("gives a draining host no new work within 3 s and replaces its group", async () => {
        await startDataCentre({ hosts: ["a1", "a2", "a3"] });
        dataCentre.table.publish(fakeTable({}, ["a1"]));
        expect(dispatchable()).to.deep.equal([]);
        await dataCentre.run(5_000);
        expect(dispatchable()).to.deep.equal(["a2 a3"]);
    });

    it("replaces the group of a leaving host before it goes, when spares for a whole group exist", async () => {
        await startDataCentre({ hosts: ["a1", "a2", "b1", "b2"] });
        const before = members();
        const leaving = before[0]?.split(" ")[0];
        dataCentre.listed = dataCentre.listed.map(host => host.host === leaving ? { ...host, state: "leaving" } : host);
        await dataCentre.run(4_000);
        expect(dispatchable().length).to.equal(1);
        expect(dispatchable()).not.to.deep.equal(before);
    });

    it("replaces groups of an old version one after another", async () => {
        await startDataCentre({ hosts: ["a1", "a2", "b1", "b2"], model: { replicas: 2 } });
        dataCentre.table.publish(fakeTable({ replicas: 2, version: "2" }));
        const counts: number[] = [];
        for (let step = 0; step < 60; step += 1) {
            await dataCentre.run(200);
            counts.push(dispatchable().length);
        }
        expect(Math.min(...counts)).to.equal(1);
        expect(counts.at(-1)).to.equal(2);
        expect(Object.values(dataCentre.groups()).map(({ version }) => version)).to.deep.equal(["2", "2"]);
    });
});
