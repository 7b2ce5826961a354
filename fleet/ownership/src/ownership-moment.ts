/** Time and random number of the event that a step acts on. */
export interface OwnershipMoment {
    readonly atMs: number;
    readonly wallMs: number;
    readonly random: number;
}
