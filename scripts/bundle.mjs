/**
 * Bundles the daemon's entry on the platform into one file, and compiles it, so that a process starts fast and needs no modules.
 * Compiled code fits only the flags of V8 with which `deploy/system.toml` runs the daemon.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync } from "node:fs";

const BUNDLE = "target/daemon.js";
const COMPILED = "target/daemon.cache";
const ENTRY = "target/damaskvaled.js";

/** Optional parts of bunyan and msgpackr. These do without them, and each start saves loading them. */
const OPTIONAL_PARTS = /^(dtrace-provider|mv|safe-json-stringify|source-map-support|msgpackr-extract)$/;

/** Makes optional parts absent, also where they are installed. */
const withoutOptionalParts = {
    name: "without optional parts",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: OPTIONAL_PARTS }, ({ path }) => ({ path, namespace: "absent" }));
        onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
            contents: `throw new Error("${path} is not in the bundle.");`,
        }));
    },
};

/** Leaves out the messages of zod in other languages than English, a quarter of the bundle. */
const withoutTranslations = {
    name: "without translations",
    setup: ({ onLoad }) => onLoad({ filter: /zod[/]v4[/]locales[/]index[.]js$/ }, () => ({ contents: "export {};" })),
};

/** Leaves out the client that pushes metrics: they are fetched. It would load HTTPS and TLS at each start. */
const withoutPushOfMetrics = {
    name: "without push of metrics",
    setup: ({ onLoad }) => onLoad({ filter: /prom-client[/]lib[/]pushgateway[.]js$/ }, () => ({ contents: "" })),
};

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: BUNDLE,
    bundle: true,
    // The entry calls the bundle as Node calls a module.
    banner: { js: "(function (require, module, __filename, __dirname) {" },
    footer: { js: "})" },
    platform: "node",
    target: "node20",
    // The CommonJS form of ts-results picks its modules at run time, which a bundle cannot follow.
    mainFields: ["module", "main"],
    sourcemap: "linked",
    legalComments: "none",
    // Names stay, so that stack traces can be read.
    minifyWhitespace: true,
    minifySyntax: true,
    plugins: [withoutTranslations, withoutPushOfMetrics, withoutOptionalParts],
    alias: {
        "@damaskvale/core": "./packages/core/src/index.ts",
        "@damaskvale/daemon": "./scripts/bundle/daemon.mjs",
    },
});

copyFileSync("scripts/bundle/damaskvaled.cjs", ENTRY);
execFileSync(process.execPath, [...flagsOfDaemon(), "scripts/bundle/compile.mjs", BUNDLE, COMPILED]);

/** Returns the flags of Node.js with which the deploy file runs the daemon. */
function flagsOfDaemon() {
    const run = /^run = "node (.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "";
    return run.split(" ").filter(word => word.startsWith("--"));
}
