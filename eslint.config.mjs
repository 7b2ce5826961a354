import tseslint from "typescript-eslint";

const readonlyDataRule = {
    selector: "TSInterfaceBody > TSPropertySignature:not([readonly=true])",
    message: "Data is read-only: declare the property readonly.",
};

const oneExportRule = {
    selector: "Program > ExportNamedDeclaration ~ ExportNamedDeclaration",
    message: "One export a file: move the second export to a file of its own.",
};

export default tseslint.config(
    { ignores: ["**/lib/**", "**/node_modules/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts", "**/*.mjs"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "guard-for-in": "error",
            "no-var": "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: false, skipComments: false }],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined, not null." },
                { selector: "ForInStatement", message: "Use for..of with Object.keys, not for..in." },
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
                readonlyDataRule,
                oneExportRule,
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                {
                    selector: ["function", "parameter", "classMethod"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            "@typescript-eslint/no-unused-vars": "error",
            "@typescript-eslint/consistent-type-imports": "error",
        },
    },
    {
        files: ["**/index.ts", "**/*.mjs"],
        rules: { "no-restricted-syntax": "off" },
    },
    {
        files: ["**/test/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
);
