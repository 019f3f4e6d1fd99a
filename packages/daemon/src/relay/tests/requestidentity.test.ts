/** Which requests count as the same one when targets crash. */
import { expect } from "chai";
import { identifyRequest, type RequestContent } from "../requestidentity.js";

const content: RequestContent = {
    request: { method: "POST", path: "/receipts/?id=1", model: undefined, prompt: undefined },
    team: "red",
    service: "portal",
    body: Buffer.from("body"),
};

const cases: readonly { readonly what: string; readonly other: Partial<RequestContent>; readonly same: boolean; }[] = [
    { what: "the same content in another buffer", other: { body: Buffer.from("body") }, same: true },
    { what: "another body", other: { body: Buffer.from("bodY") }, same: false },
    { what: "another team", other: { team: "blue" }, same: false },
    { what: "no team", other: { team: undefined }, same: false },
    { what: "another service of a split route", other: { service: "mirror" }, same: false },
    { what: "another path", other: { request: { ...content.request, path: "/receipts/?id=2" } }, same: false },
    { what: "another method", other: { request: { ...content.request, method: "PUT" } }, same: false },
    { what: "another model", other: { request: { ...content.request, model: "large" } }, same: false },
    { what: "another prompt", other: { request: { ...content.request, prompt: "a:1,b:2" } }, same: false },
    { what: "a body that continues a field", other: { service: "portal,", body: Buffer.from("ody") }, same: false },
];

describe("identity of a request", () => {
    cases.forEach(({ what, other, same }) =>
        it(`${same ? "is the same for" : "differs for"} ${what}`, () =>
            expect(identifyRequest({ ...content, ...other }) === identifyRequest(content)).to.equal(same))
    );

    it("holds nothing of the content", () => {
        const identity = identifyRequest(content);
        expect(identity).to.match(/^request-[\da-f]{32}$/);
    });
});
