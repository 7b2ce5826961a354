import { field } from "@marigoldstall/config.schema";
import type { Targets } from "@marigoldstall/core.types";
import * as Schema from "effect/Schema";

// VMs with the role `entry` run the daemon, so no service can have this name.
const ENTRY_ROLE = "entry";
const MAX_CLASSES = 2000;
const MAX_RULES = 100;
const MAX_PREFIX_CHARACTERS = 1024;
const HOUR_MS = 3_600_000;
const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"] as const;
// Request paths are compared in decoded form, so a prefix contains no percent-escapes.
const PREFIX_PATTERN = /^\/[^\p{C}\p{Z}?#%\\]*$/u;
const DOT_SEGMENT_PATTERN = /\/\.{1,2}(?:\/|$)|\/\//;

interface ListOptions {
    readonly expected: string;
    readonly minimum: number;
    readonly maximum: number;
}

const list = <Item extends Schema.Constraint>(item: Item, opts: ListOptions) =>
    Schema.Array(item)
        .annotate({ expected: opts.expected })
        .check(Schema.makeFilter(
            (value: readonly unknown[]) => value.length >= opts.minimum && value.length <= opts.maximum,
            { expected: opts.expected },
        ))
        .pipe(Schema.annotateKey({ messageMissingKey: opts.expected }));

const oneOf = <const Values extends readonly string[]>(values: Values, expected: string) =>
    Schema.Literals(values).annotate({ expected }).pipe(Schema.annotateKey({ messageMissingKey: expected }));

const isPathPrefix = (text: string): boolean =>
    text.length <= MAX_PREFIX_CHARACTERS && PREFIX_PATTERN.test(text) && !DOT_SEGMENT_PATTERN.test(text);

const matchRuleSchema = field.struct({
    methods: list(oneOf(METHODS, `one of ${METHODS.join(", ")}`), {
        expected: `a list of methods out of ${METHODS.join(", ")}`,
        minimum: 1,
        maximum: METHODS.length,
    }),
    pathPrefix: field.text({
        expected: "a path below the service that starts with /, without query, escapes, spaces, empty or dot segments",
        accepts: isPathPrefix,
    }),
});

const classSchema = field.struct({
    name: field.name,
    service: field.name.check(Schema.makeFilter(
        (value: string) => value !== ENTRY_ROLE,
        { expected: `a service name other than ${ENTRY_ROLE}, the role of the entry VMs` },
    )),
    urgency: oneOf(["urgent", "normal", "patient"], "one of urgent, normal, patient"),
    repeatable: Schema.Boolean.annotate({ expected: "true or false" })
        .pipe(Schema.annotateKey({ messageMissingKey: "true or false" })),
    lateness: field.struct({
        percentile: field.number({
            expected: "a percentile from 1 to 99.99",
            accepts: value => value >= 1 && value <= 99.99,
        }),
        withinMs: field.number({
            expected: `a time above 0 and up to ${HOUR_MS} ms`,
            accepts: value => value > 0 && value <= HOUR_MS,
        }),
    }),
    turnedAwayAtMostPercent: field.number({
        expected: "a share from 0 to 100 percent",
        accepts: value => value >= 0 && value <= 100,
    }),
    match: list(matchRuleSchema, {
        expected: `a list of at most ${MAX_RULES} rules with methods and pathPrefix`,
        minimum: 0,
        maximum: MAX_RULES,
    }),
});

/** Schema of the targets in the operator's file and in log records. */
export const targetsSchema: Schema.ConstraintDecoder<Targets> = field.struct({
    site: field.name,
    measuring: field.struct({
        probesPerSecond: field.number({
            expected: "a number of probes per second from 0 to 100000",
            accepts: value => value >= 0 && value <= 100_000,
        }),
    }),
    classes: list(classSchema, {
        expected: `a list of 1 to ${MAX_CLASSES} classes`,
        minimum: 1,
        maximum: MAX_CLASSES,
    }),
});
