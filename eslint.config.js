import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/", "node_modules/", "target/"] },
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: ["function", "parameter", "classProperty", "classMethod"], format: ["camelCase"] },
                { selector: "variable", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { ignoreRestSiblings: true }],
            "no-restricted-properties": [
                "error",
                ...["any", "timeout"].map(property => ({
                    object: "AbortSignal",
                    property,
                    message: "A garbage collection may remove the limit. Use limitCall of src/common/callLimit.ts.",
                })),
            ],
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-console": "error",
        },
    },
    { files: ["scripts/**/*.ts", "fakes/**/*.ts"], rules: { "no-console": "off" } },
);
