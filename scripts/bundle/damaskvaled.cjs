/** Entry of the bundled daemon: runs the bundle with its compiled code, so that a start need not compile it again. */
"use strict";

const { existsSync, readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const filename = join(__dirname, "daemon.js");
const compiled = join(__dirname, "daemon.cache");

// The bundle is ASCII only, and this decoding is the fastest. V8 ignores a cache of another version or other flags.
const script = new Script(readFileSync(filename, "latin1"), {
    filename,
    cachedData: existsSync(compiled) ? readFileSync(compiled) : undefined,
});
script.runInThisContext()(require, module, __filename, __dirname);
