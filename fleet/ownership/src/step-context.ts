/** Times and random number of the event that triggers a step. */
export interface StepContext {
    readonly atMs: number;
    readonly wallMs: number;
    readonly random: number;
}
