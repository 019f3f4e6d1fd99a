/**
 * Compiles the bundle that is named by the first argument and writes its compiled code to the file of the second one. It must
 * run with the flags of the daemon, because V8 takes compiled code only for the same flags.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

const [bundle, compiled] = process.argv.slice(2);
// Functions would otherwise be compiled when they are first called, and left out.
setFlagsFromString("--no-lazy");
const script = new Script(readFileSync(bundle, "latin1"), { filename: bundle });
setFlagsFromString("--lazy");
writeFileSync(compiled, script.createCachedData());
