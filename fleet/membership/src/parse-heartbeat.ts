import * as Option from "effect/Option";
import * as Schema from "effect/Schema";
import { EvidenceSchema } from "./evidence-schema.js";
import type { Heartbeat } from "./heartbeat.js";

const Name = Schema.String.check(Schema.isMaxLength(256));
const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }));
const MemberSchema = Schema.Struct({
    daemon: Schema.Struct({ vmId: Name, incarnation: Name }),
    address: Name,
    availabilityZone: Name,
});

const decode = Schema.decodeUnknownOption(Schema.Struct({
    sender: MemberSchema,
    stopping: Schema.Boolean,
    configurationVersion: Count,
    pressure: Schema.Array(Schema.Struct({
        service: Name,
        level: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
    })).check(Schema.isMaxLength(256)),
    evidence: Schema.Array(EvidenceSchema).check(Schema.isMaxLength(256)),
    beats: Schema.Array(Schema.Struct({ member: MemberSchema, beat: Count })).check(Schema.isMaxLength(64)),
}));

/** Validates a heartbeat decoded from JSON. Returns undefined when it is malformed. */
export const parseHeartbeat = (value: unknown): Heartbeat | undefined => Option.getOrUndefined(decode(value));
