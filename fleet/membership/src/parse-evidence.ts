import type { Evidence } from "@marigoldstall/core.types";
import * as Option from "effect/Option";
import * as Schema from "effect/Schema";
import { EvidenceSchema } from "./evidence-schema.js";

const decode = Schema.decodeUnknownOption(
    Schema.Struct({ evidence: Schema.Array(EvidenceSchema).check(Schema.isMaxLength(256)) }),
);

/** Parses the parameters of `membership.evidence`. Returns undefined when they are malformed. */
export const parseEvidence = (value: unknown): readonly Evidence[] | undefined =>
    Option.getOrUndefined(decode(value))?.evidence;
