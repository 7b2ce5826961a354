/** How long a backend server stays cold, as it stated. */
export interface WarmUpUpdate {
    /** Remaining time when the message was sent; 0 if the server is not cold. */
    readonly remainingMs: number;
    /** Time since the server stated it. */
    readonly ageMs: number;
}
