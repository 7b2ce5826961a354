import * as Schema from "effect/Schema";

/** Faults of the VM list. */
export const VmListFaults = Schema.Struct({
    /** Gives the list as it was this long ago. */
    lagMs: Schema.optionalKey(Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))),
    /** Gives the list as it was when the fault was set. */
    standsStill: Schema.optionalKey(Schema.Boolean),
    /** Gives a current list without VMs. */
    empty: Schema.optionalKey(Schema.Boolean),
    /** Leaves out every second VM of each role. */
    halfMissing: Schema.optionalKey(Schema.Boolean),
    /** `refuse` answers 503, `drop` closes the connection without an answer. */
    outage: Schema.optionalKey(Schema.Literals(["refuse", "drop"])),
});
