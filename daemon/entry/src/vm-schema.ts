import * as Schema from "effect/Schema";
import { NameSchema } from "./name-schema.js";

/** Schema of a VM's description in the store and in RPC results. */
export const VmSchema = Schema.Struct({
    vmId: NameSchema,
    availabilityZone: NameSchema,
    host: NameSchema,
    cores: Schema.Finite,
    linkMbps: Schema.Finite,
});
