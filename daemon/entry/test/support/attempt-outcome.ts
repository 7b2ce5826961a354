/** Result of one attempt. */
export interface AttemptOutcome {
    readonly result: string;
    readonly body?: string;
    /** Lower-case names of the headers of the response. */
    readonly headerNames?: readonly string[];
}
