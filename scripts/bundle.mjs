/** Bundles the daemon's entry on the platform into one file, so that a process starts fast and needs no modules. */
import { build } from "esbuild";

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
    // Names stay, so that stack traces can be read.
    minifyWhitespace: true,
    minifySyntax: true,
    plugins: [withoutTranslations, withoutOptionalParts],
    alias: {
        "@damaskvale/core": "./packages/core/src/index.ts",
        "@damaskvale/daemon": "./scripts/bundle/daemon.mjs",
    },
});
