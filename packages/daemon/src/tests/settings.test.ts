import { expect } from "chai";
import { safeParseSettings } from "../settings.js";

const complete = {
    "name": "pta-hall-a-1",
    "data-centre": "pta-hall-a",
    "listen": "127.0.0.1:8080",
    "peer-listen": "127.0.0.1:8090",
    "platform": "http://127.0.0.1:7000",
    "operator-tokens": "anna:operator-token-0001",
    "peer-secret": "peer-secret-000001",
    "target-credential": "credential-000001",
};

describe("settings", () => {
    it("prefers a flag to an environment variable", () => {
        const settings = safeParseSettings(complete, { DAMASKVALE_LISTEN: "127.0.0.1:9999" }).unwrap();
        expect(settings.listen).to.equal("127.0.0.1:8080");
    });

    it("reports all issues together, each with its flag", () => {
        const result = safeParseSettings({ ...complete, "listen": "nowhere", "maximum-body-bytes": "-1" }, {});
        const paths = (result.val as { path: unknown[]; }[]).map(found => found.path[0]);
        expect(paths).to.deep.equal([
            "--listen or DAMASKVALE_LISTEN",
            "--maximum-body-bytes or DAMASKVALE_MAXIMUM_BODY_BYTES",
        ]);
    });

    it("rejects a misspelt environment variable, which would otherwise be ignored", () => {
        const result = safeParseSettings(complete, { DAMASKVALE_LISTN: "x" });
        expect(result.err).to.equal(true);
    });

    it("does not show the value of a secret in an issue", () => {
        const result = safeParseSettings({ ...complete, "peer-secret": "short" }, {});
        expect(JSON.stringify(result.val)).not.to.contain('short"');
    });
});
