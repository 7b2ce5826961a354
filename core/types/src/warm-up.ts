/** Until when a server is cold, as it stated in a response. */
export interface WarmUp {
    readonly coldUntilMs: number;
    readonly statedAtMs: number;
}
