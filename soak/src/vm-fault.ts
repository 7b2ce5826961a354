/** A fault that was injected into a daemon's process. */
export interface VmFault {
    readonly vmId: string;
    readonly kind: "stop" | "kill" | "pause";
    readonly startedAtMs: number;
    readonly endedAtMs: number;
}
