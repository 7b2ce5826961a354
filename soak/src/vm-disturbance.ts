/** Something that was done to a daemon's process. */
export interface VmDisturbance {
    readonly vmId: string;
    readonly kind: "stop" | "kill" | "pause";
    readonly startedAtMs: number;
    readonly endedAtMs: number;
}
