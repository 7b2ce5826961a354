import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from "yaml";
import type { Document, Node } from "yaml";
import { checkValue } from "./check-value.js";
import type { CheckYamlOptions } from "./check-yaml-options.js";
import type { FileProblem } from "./file-problem.js";
import { InvalidFileError } from "./invalid-file-error.js";
import type { ValueProblem } from "./value-problem.js";

// 64 services with ten classes each take about 200 KB.
const MAX_FILE_CHARACTERS = 1_048_576;
const MAX_VALUE_CHARACTERS = 60;

const formatPath = (path: readonly PropertyKey[]): string =>
    path.reduce<string>(
        (text, key) =>
            typeof key === "number" ? `${text}[${key}]` : text === "" ? String(key) : `${text}.${String(key)}`,
        "",
    );

const isObject = (value: unknown): value is object => typeof value === "object" && !!value;

const getAtPath = (value: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (current, key) => isObject(current) ? (current as Record<PropertyKey, unknown>)[key] : undefined,
        value,
    );

const describeValue = (value: unknown): string => {
    if (Array.isArray(value)) {
        return ", found a list";
    }
    if (isObject(value)) {
        return ", found a mapping";
    }
    const text = JSON.stringify(value) ?? "nothing";
    return `, found ${text === "null" ? "nothing" : text.slice(0, MAX_VALUE_CHARACTERS)}`;
};

/** Returns the offset of the deepest node on the path: the key of a mapping entry or the item of a sequence. */
const findOffset = (document: Document, path: readonly PropertyKey[]): number => {
    let node: unknown = document.contents;
    let offset = 0;
    for (const key of path) {
        if (isAlias(node)) {
            node = node.resolve(document);
        }
        if (isMap(node)) {
            const pair = node.items.find(item => isScalar(item.key) && String(item.key.value) === String(key));
            if (pair === undefined) {
                return offset;
            }
            offset = (pair.key as Node).range?.[0] ?? offset;
            node = pair.value;
        }
        else if (isSeq(node)) {
            node = node.items[Number(key)];
            offset = (node as Node | undefined)?.range?.[0] ?? offset;
        }
    }
    return offset;
};

const describeSyntaxProblem = (code: string, message: string): string =>
    code === "DUPLICATE_KEY" ? "duplicate key, expected each key once" : message.split("\n", 1)[0] ?? message;

/** Parses one YAML document and validates it against a schema. The error lists every problem with its line and key. */
export const checkYaml = <T>(text: string, opts: CheckYamlOptions<T>): Result<T, InvalidFileError> => {
    const fail = (problems: readonly FileProblem[]): Result<T, InvalidFileError> =>
        err(new InvalidFileError({ code: opts.code, file: opts.file, step: opts.step, hint: opts.hint, problems }));
    if (text.length > MAX_FILE_CHARACTERS) {
        const message = `expected at most ${MAX_FILE_CHARACTERS} characters, found ${text.length}`;
        return fail([{ file: opts.file, line: 1, key: "", message }]);
    }
    const lineCounter = new LineCounter();
    const document = parseDocument(text, { lineCounter, prettyErrors: false, uniqueKeys: true });
    const lineAt = (offset: number): number => Math.max(1, lineCounter.linePos(offset).line);
    const syntaxProblems = [...document.errors, ...document.warnings].map(problem => ({
        file: opts.file,
        line: lineAt(problem.pos[0]),
        key: problem.code === "DUPLICATE_KEY" ? /^[^:\s]+/.exec(text.slice(problem.pos[0]))?.[0] ?? "" : "",
        message: describeSyntaxProblem(problem.code, problem.message),
    }));
    if (document.errors.length > 0 || document.warnings.length > 0) {
        return fail(syntaxProblems);
    }
    let value: unknown;
    try {
        value = document.toJS();
    }
    catch (cause) {
        // The limit on alias expansion applies only when the document is converted.
        return fail([{ file: opts.file, line: 1, key: "", message: String((cause as Error).message) }]);
    }
    const locate = (problem: ValueProblem): FileProblem => {
        const isSecret = problem.path.some(key => opts.secretKeys?.includes(String(key)));
        const showsValue = problem.message.startsWith("expected") && !isSecret;
        return {
            file: opts.file,
            line: lineAt(findOffset(document, problem.path)),
            key: formatPath(problem.path),
            message: problem.message + (showsValue ? describeValue(getAtPath(value, problem.path)) : ""),
        };
    };
    const checked = checkValue(value, { schema: opts.schema });
    if (checked.isErr()) {
        return fail(checked.error.map(locate).sort((left, right) => left.line - right.line));
    }
    const crossCheckProblems = opts.crossCheck?.(checked.value) ?? [];
    return crossCheckProblems.length === 0 ? ok(checked.value) : fail(crossCheckProblems.map(locate));
};
