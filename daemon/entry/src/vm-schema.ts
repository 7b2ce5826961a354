import * as Schema from "effect/Schema";

/** Schema of a VM's description in the store and in RPC results. */
export const VmSchema = Schema.Struct({
    vmId: Schema.String,
    availabilityZone: Schema.String,
    host: Schema.String,
    cores: Schema.Finite,
    linkMbps: Schema.Finite,
});
