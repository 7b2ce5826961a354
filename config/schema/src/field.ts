import * as Schema from "effect/Schema";
import { isAddress } from "./is-address.js";

interface TextOptions {
    readonly expected: string;
    readonly accepts: (text: string) => boolean;
}

interface NumberOptions {
    readonly expected: string;
    readonly accepts: (value: number) => boolean;
}

interface IntegerOptions {
    readonly minimum: number;
    readonly maximum: number;
    readonly unit?: string;
}

const NAME_PATTERN = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/;

const text = (opts: TextOptions) =>
    Schema.String.annotate({ expected: opts.expected })
        .check(Schema.makeFilter((value: string) => opts.accepts(value), { expected: opts.expected }))
        .pipe(Schema.annotateKey({ messageMissingKey: opts.expected }));

const number = (opts: NumberOptions) =>
    Schema.Number.annotate({ expected: opts.expected })
        .check(Schema.makeFilter((value: number) => opts.accepts(value), { expected: opts.expected }))
        .pipe(Schema.annotateKey({ messageMissingKey: opts.expected }));

const integer = (opts: IntegerOptions) =>
    number({
        expected: `a whole number from ${opts.minimum} to ${opts.maximum}${
            opts.unit === undefined ? "" : ` ${opts.unit}`
        }`,
        accepts: value => Number.isInteger(value) && value >= opts.minimum && value <= opts.maximum,
    });

const struct = <const Fields extends Schema.Struct.Fields>(fields: Fields) =>
    Schema.Struct(fields)
        .annotate({ expected: "a mapping" })
        .pipe(Schema.annotateKey({ messageMissingKey: `a mapping with ${Object.keys(fields).join(", ")}` }));

/** Schemas for values in settings and targets. Each carries the expectation that error messages quote. */
export const field = {
    text,
    number,
    integer,
    struct,
    name: text({
        expected: "a name of 1 to 63 lower-case letters, digits and inner hyphens",
        accepts: value => NAME_PATTERN.test(value),
    }),
    address: text({ expected: "an IP address and port such as 127.0.0.1:7000", accepts: isAddress }),
} as const;
