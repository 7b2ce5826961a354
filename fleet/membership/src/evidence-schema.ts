import * as Schema from "effect/Schema";

const Name = Schema.String.check(Schema.isMaxLength(256));

/** Wire format of one piece of evidence. */
export const EvidenceSchema = Schema.Struct({
    service: Name,
    address: Name,
    instanceId: Name,
    kind: Schema.Literals(["leaving", "silent"]),
    observedBy: Name,
});
