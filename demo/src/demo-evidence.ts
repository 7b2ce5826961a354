import type { BackendRecord } from "@marigoldstall-private/backend-server";
import type { CallRecord } from "@marigoldstall-private/caller";
import type { ConfigurationCheck } from "./configuration-check.js";

/** Records of one run, from both ends. */
export interface DemoEvidence {
    readonly calls: readonly CallRecord[];
    readonly records: readonly BackendRecord[];
    readonly probesPerSecond: number;
    /** Caller addresses of daemons that were killed, and when; callers of that moment may be left without an answer. */
    readonly kills: readonly { readonly entry: string; readonly atMs: number; }[];
    readonly stoppedEntry: string;
    /** Exit code or signal of the daemon that was asked to stop, undefined while it runs. */
    readonly stoppedExit: number | string | undefined;
    readonly leavingVmId: string;
    readonly configuration: ConfigurationCheck;
}
