import * as Schema from "effect/Schema";

/** VM in the VM list. `role` is `entry` or the name of a service. */
export const ListedVm = Schema.Struct({
    vmId: Schema.NonEmptyString,
    role: Schema.NonEmptyString,
    /** Control address of an entry VM, HTTP address of a backend server. */
    address: Schema.NonEmptyString,
    availabilityZone: Schema.NonEmptyString,
    state: Schema.Literals(["live", "leaving"]),
});
