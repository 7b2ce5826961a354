/** One successful read of a topic, by which VMs recognise that they have heard of it before. */
export interface Confirmation {
    /** Unique to one run of a daemon. */
    readonly readerId: string;
    /** Rises with each read of that daemon. */
    readonly number: number;
}
