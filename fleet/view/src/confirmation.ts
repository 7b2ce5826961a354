/** Identifies a successful read of a topic, so that VMs recognise reports of a read that they already know. */
export interface Confirmation {
    /** Unique per daemon process. */
    readonly readerId: string;
    /** Increases with each read of that daemon. */
    readonly number: number;
}
