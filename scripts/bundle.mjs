/** Bundles the daemon's entry on the platform into one file, so that a process starts fast and needs no modules. */
import { build } from "esbuild";

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/damaskvaled.js",
    bundle: true,
    platform: "node",
    target: "node20",
    // The CommonJS form of ts-results picks its modules at run time, which a bundle cannot follow.
    mainFields: ["module", "main"],
    sourcemap: "linked",
    legalComments: "none",
    alias: {
        "@damaskvale/core": "./packages/core/src/index.ts",
        "@damaskvale/daemon": "./scripts/bundle/daemon.mjs",
        "undici": "./scripts/bundle/undici.mjs",
    },
    // Optional parts of bunyan that are absent here.
    external: ["dtrace-provider", "mv", "safe-json-stringify", "source-map-support"],
});
