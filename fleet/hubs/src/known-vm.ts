import type { VmInfo } from "./vm-info.js";

/** Another VM and when it was last seen. */
export interface KnownVm {
    readonly info: VmInfo;
    /** When this VM or a hub last received a message from it. */
    readonly lastSeenAtMs: number;
    /** When this VM itself last received a heartbeat from it. */
    readonly lastHeardAtMs: number;
    /** When this VM last received a message that it sent as a hub. */
    readonly lastSeenAsHubAtMs: number;
}
