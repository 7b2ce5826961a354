/** Era of a position from a VM of an earlier release, which sends none. It is before all eras of the store. */
export const UNKNOWN_ERA = -1;
