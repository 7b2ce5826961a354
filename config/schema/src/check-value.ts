import * as Result from "effect/Result";
import * as Schema from "effect/Schema";
import type * as SchemaAST from "effect/SchemaAST";
import * as SchemaIssue from "effect/SchemaIssue";
import { err, ok } from "neverthrow";
import type { Result as CheckResult } from "neverthrow";
import type { ValueProblem } from "./value-problem.js";

const describeKnownKeys = (ast: SchemaAST.AST): string =>
    ast._tag === "Objects" ? ast.propertySignatures.map(signature => String(signature.name)).join(", ") : "";

const findExpected = (ast: SchemaAST.AST): string | undefined => {
    const expected = ast.annotations?.["expected"] ?? ast.checks?.at(-1)?.annotations?.["expected"];
    return typeof expected === "string" ? expected : undefined;
};

const describeLeaf = (issue: SchemaIssue.Leaf): string => {
    switch (issue._tag) {
        case "UnexpectedKey":
            return `unknown key, expected one of ${describeKnownKeys(issue.ast)}`;
        case "MissingKey":
            return `missing, expected ${issue.annotations?.messageMissingKey ?? "a value"}`;
        case "InvalidType": {
            const expected = findExpected(issue.ast);
            return expected === undefined ? SchemaIssue.defaultLeafHook(issue) : `expected ${expected}`;
        }
        default:
            return SchemaIssue.defaultLeafHook(issue);
    }
};

const describeCheck = (issue: SchemaIssue.Filter): string | undefined => {
    const expected = issue.filter.annotations?.["expected"];
    return typeof expected === "string" ? `expected ${expected}` : undefined;
};

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1({ leafHook: describeLeaf, checkHook: describeCheck });

const toPathKey = (segment: PropertyKey | { readonly key: PropertyKey; }): PropertyKey =>
    typeof segment === "object" ? segment.key : segment;

/** Validates a value against a schema. Returns all problems, not only the first; an unknown key is one. */
export const checkValue = <T>(
    value: unknown,
    opts: { readonly schema: Schema.ConstraintDecoder<T>; },
): CheckResult<T, readonly ValueProblem[]> => {
    const decoded = Schema.decodeUnknownResult(opts.schema, { errors: "all", onExcessProperty: "error" })(value);
    if (Result.isSuccess(decoded)) {
        return ok(decoded.success);
    }
    const problems = formatIssue(decoded.failure.issue).issues.map(issue => ({
        path: (issue.path ?? []).map(toPathKey),
        message: issue.message.replace(/^Expected/, "expected"),
    }));
    return err(problems);
};
