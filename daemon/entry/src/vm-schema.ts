import * as Schema from "effect/Schema";

/** How a VM describes itself in the store and in calls. */
export const VmSchema = Schema.Struct({
    vmId: Schema.String,
    availabilityZone: Schema.String,
    host: Schema.String,
    cores: Schema.Finite,
    linkMbps: Schema.Finite,
});
