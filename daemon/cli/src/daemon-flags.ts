import type { DaemonOptions } from "@marigoldstall/daemon.runtime";

/** Command-line options of `marigoldstalld`. */
export interface DaemonFlags {
    readonly settings: string;
    readonly policy: DaemonOptions["policy"];
}
