/** What a member has reported to this hub. */
export interface KnownReporter {
    readonly sequence: number;
    readonly heardAtMs: number;
    readonly tenants: ReadonlyMap<string, KnownTotal>;
}

interface KnownTotal {
    /** Undefined until the first report. */
    readonly total: number | undefined;
    /** Requests that this hub has granted since that report. The next report counts them too. */
    readonly granted: number;
    readonly grantedAtMs: number;
}
