/** Which versions of the configuration are passed on to other daemons, and what arrives there. */
import type { RelayConfiguration } from "@damaskvale/core";
import { expect } from "chai";
import { randomBytes } from "node:crypto";
import type { OperatorRecord, TopicChange, TopicRange } from "../../ports/registry.js";
import { decodeConfigurationRange, encodeConfigurationRange } from "../configurationmessage.js";
import { decodeExchangeMessage, encodeDatagram } from "../exchangemessage.js";

const configurationRecord: OperatorRecord = { kind: "configuration", configuration: {} as RelayConfiguration };
const range = (changes: readonly TopicChange<OperatorRecord>[]): TopicRange<OperatorRecord> => ({
    fromOffset: 4,
    nextOffset: 5,
    era: 1,
    changes,
});
const version = (encoded: Uint8Array): TopicChange<OperatorRecord> => ({
    key: "config",
    value: configurationRecord,
    encoded,
});
const topic = {
    decode: (key: string, encoded: Uint8Array | undefined) => [
        { key, value: Buffer.from(encoded ?? []).toString() as unknown as OperatorRecord },
    ],
};

describe("message with versions of the configuration", () => {
    it("carries what the store holds", () => {
        const text = JSON.stringify({
            version: 7,
            routes: Array.from({ length: 200 }, (...[, index]) => `/r${index}/`),
        });
        const encoded = encodeConfigurationRange(range([version(Buffer.from(text))]));
        const bytes = encodeDatagram({ kind: "configuration", daemon: "d0", range: encoded ?? expect.fail() });
        const received = decodeExchangeMessage(bytes);
        const message = received.kind === "message" ? received.message : undefined;
        const decoded = message?.kind === "configuration" ? decodeConfigurationRange(message.range, topic) : undefined;
        expect(bytes.length).to.be.below(text.length / 2);
        expect(decoded).to.deep.equal({ ...range([]), changes: [{ key: "config", value: text }] });
    });

    const kept: readonly { readonly guards: string; readonly changes: readonly TopicChange<OperatorRecord>[]; }[] = [
        { guards: "a message without content", changes: [] },
        { guards: "a message that holds up a small link", changes: [version(randomBytes(30_000))] },
        {
            guards: "a version without its encoded value",
            changes: [{ key: "config", value: configurationRecord }],
        },
    ];
    kept.forEach(({ guards, changes }) =>
        it(`guards against ${guards}`, () => {
            expect(encodeConfigurationRange(range(changes))).to.equal(undefined);
        })
    );

    it("carries the end of an evacuation, which has no encoded value", () => {
        const ended: TopicChange<OperatorRecord> = {
            key: "evacuate/b",
            value: { kind: "evacuation", dataCentre: "b", evacuated: false },
        };
        expect(encodeConfigurationRange(range([ended]))?.changes).to.deep.equal([{
            key: "evacuate/b",
            encoded: undefined,
        }]);
    });

    it("throws for a value that cannot be decompressed", () => {
        const changes = [{ key: "config", encoded: Buffer.from("no deflated bytes") }];
        expect(() => decodeConfigurationRange({ fromOffset: 0, nextOffset: 1, era: 1, changes }, topic)).to.throw();
    });
});
