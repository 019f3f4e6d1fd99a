import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** Syntax that the house style replaces: unions for enums, lookup tables for switch, undefined for null. */
const restrictedSyntax = [
    { selector: "TSEnumDeclaration", message: "Use a string union." },
    { selector: "SwitchStatement", message: "Use a lookup table of handlers." },
    { selector: "Literal[raw='null']", message: "Use undefined." },
    { selector: "TSNullKeyword", message: "Use undefined." },
    { selector: "ForInStatement", message: "Use Object.entries with an array method." },
];

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "packages/*/bin/**", "target/**", "journal/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "one-var": ["error", "never"],
            "no-restricted-syntax": ["error", ...restrictedSyntax],
            "max-lines": ["error", { max: 350, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 70, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "function", format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "UPPER_CASE"], leadingUnderscore: "forbid" },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: { FunctionDeclaration: true, ClassDeclaration: true },
                contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
            }],
        },
    },
    {
        files: ["**/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        files: ["packages/**/tests/**/*.ts", "platform/**/tests/**/*.ts"],
        rules: {
            "max-lines-per-function": "off",
            "@typescript-eslint/no-unused-expressions": "off",
        },
    },
);
