import type { DaemonOptions } from "@marigoldstall/daemon.runtime";

/** Options on the command line of `marigoldstalld`. */
export interface DaemonFlags {
    readonly settings: string;
    readonly policy: DaemonOptions["policy"];
}
