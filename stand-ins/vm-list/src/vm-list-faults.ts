import * as Schema from "effect/Schema";

/** Faults to inject into the VM list. */
export const VmListFaults = Schema.Struct({
    /** Returns the list as it was this long ago. */
    lagMs: Schema.optionalKey(Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))),
    /** Returns the list as it was when the fault was set. */
    standsStill: Schema.optionalKey(Schema.Boolean),
    /** Returns an empty list with a current time. */
    empty: Schema.optionalKey(Schema.Boolean),
    /** Omits every second VM of each role. */
    halfMissing: Schema.optionalKey(Schema.Boolean),
    /** `refuse` responds with 503, `drop` closes the connection without a response. */
    outage: Schema.optionalKey(Schema.Literals(["refuse", "drop"])),
});
