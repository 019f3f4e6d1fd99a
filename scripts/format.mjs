/**
 * Formats the sources with dprint's TypeScript plugin, or with `--check` lists the files that differ and fails.
 * The WebAssembly library is used instead of the dprint command, because the command needs a binary per platform.
 */
import { createContext } from "@dprint/formatter";
import * as typescript from "@dprint/typescript";
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const PATTERN = /\.(ts|mts|cts|js|mjs|cjs)$/;

const context = createContext({ lineWidth: 120, indentWidth: 4, newLineKind: "lf" });
context.addPlugin(readFileSync(typescript.getPath()), {
    useBraces: "always",
    nextControlFlowPosition: "nextLine",
    quoteStyle: "preferDouble",
    semiColons: "always",
    "arrowFunction.useParentheses": "preferNone",
    trailingCommas: "onlyMultiLine",
    singleBodyPosition: "nextLine",
    operatorPosition: "nextLine",
    "module.sortImportDeclarations": "caseInsensitive",
});

const listed = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "-z"], {
    encoding: "utf8",
});
const check = process.argv.includes("--check");
const changed = listed.split("\0").filter(filePath => PATTERN.test(filePath) && existsSync(filePath)).filter(
    filePath => {
        const fileText = readFileSync(filePath, "utf8");
        const formatted = context.formatText({ filePath, fileText });
        if (formatted === fileText) {
            return false;
        }
        if (!check) {
            writeFileSync(filePath, formatted);
        }
        return true;
    },
);
changed.forEach(filePath => console.log(`${check ? "not formatted" : "formatted"}: ${filePath}`));
process.exitCode = check && changed.length > 0 ? 1 : 0;
