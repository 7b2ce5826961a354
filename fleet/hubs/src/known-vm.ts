import type { VmInfo } from "./vm-info.js";

/** What this VM knows of another one. */
export interface KnownVm {
    readonly info: VmInfo;
    /** When this VM or a hub last heard from it. */
    readonly aliveAtMs: number;
    /** When it last spoke as a hub. */
    readonly hubAtMs: number;
}
