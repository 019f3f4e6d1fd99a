/** `damaskvale configuration check` reads published files, tells its result by the exit code, and prints no secrets. */
import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const BINARY = join(__dirname, "..", "..", "bin", "damaskvale.js");
const COMMAND_TIMEOUT_MILLISECONDS = 20_000;

const route = {
    name: "status",
    hostname: "Portal",
    pathPrefix: "/status/",
    routeType: "safe",
    timeoutMs: 1_000,
    targetLatencyMs: 150,
    backend: "plain",
};
const published = {
    version: 8,
    routes: [route],
    services: [{ name: "plain" }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: "red", apiKeys: ["secret-key"] }],
};

interface Output {
    readonly code: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

describe("damaskvale configuration check", function() {
    this.timeout(COMMAND_TIMEOUT_MILLISECONDS);
    let folder = "";

    before(() => {
        folder = mkdtempSync(join(tmpdir(), "configuration-"));
    });
    after(() => rmSync(folder, { recursive: true }));

    const write = (name: string, value: unknown): string => {
        const file = join(folder, name);
        writeFileSync(file, typeof value === "string" ? value : JSON.stringify(value));
        return file;
    };
    const run = (...values: string[]): Output => {
        const options = { encoding: "utf8", timeout: COMMAND_TIMEOUT_MILLISECONDS } as const;
        const result = spawnSync(process.execPath, [BINARY, "configuration", "check", ...values], options);
        return { code: result.status ?? undefined, stdout: result.stdout, stderr: result.stderr };
    };

    it("exits with 0 if it finds nothing, and tells what differs from the version in force", () => {
        const current = { ...published, version: 7, routes: [{ ...route, timeoutMs: 900 }] };
        const output = run(write("next.json", published), "--current", write("current.json", current));
        expect(output.code, output.stderr).to.equal(0);
        expect(output.stdout).to.contain("~ route status timeoutMilliseconds: 900 -> 1000");
        expect(output.stdout).to.contain("has no findings");
    });

    it("exits with 1 if there are only warnings", () => {
        const output = run(write("next.json", { ...published, tenants: [{ name: "red", apiKeys: [] }] }));
        expect([output.code, output.stdout]).to.deep.equal([
            1,
            "warning: team red: It has no keys, so that no request is its own. (team_without_keys)\n",
        ]);
    });

    it("exits with 2 if there are errors, and prints them as JSON without keys", () => {
        const next = write("next.json", { ...published, routes: [{ ...route, backend: "gone" }] });
        const output = run(next, "--current", write("current.json", published), "--json");
        const result = JSON.parse(output.stdout) as {
            exit: number;
            findings: { code: string; }[];
            differences: unknown[];
        };
        expect([output.code, result.exit]).to.deep.equal([2, 2]);
        expect(result.findings.map(({ code }) => code)).to.deep.equal([
            "version_not_higher",
            "route_without_service",
            "unknown_service",
            "unused_service",
        ]);
        expect(result.differences).to.have.length(1);
        expect(output.stdout).not.to.contain("secret");
    });

    const unreadable: readonly (readonly [guards: string, value: unknown, text: string])[] = [
        ["a file that is no JSON", `${JSON.stringify(published).slice(0, -4)}}`, "invalid_json"],
        ["a field of the wrong type", { ...published, version: "8" }, "version"],
    ];
    unreadable.forEach(([guards, value, text]) =>
        it(`exits with 2 and names the file and the field: ${guards}`, () => {
            const output = run(write("broken.json", value));
            expect(output.code).to.equal(2);
            expect(output.stderr).to.contain("broken.json").and.to.contain(text);
            expect(output.stderr).not.to.contain("secret");
        })
    );

    it("exits with 2 if there is no such file", () => {
        const output = run(join(folder, "absent.json"), "--json");
        expect([output.code, (JSON.parse(output.stdout) as { exit: number; }).exit]).to.deep.equal([2, 2]);
    });
});
