import type { ServiceTimeSettings } from "@marigoldstall-private/backend-server";
import type { SiteLayout } from "./site-layout.js";

/** Options of {@link Site.start}. */
export interface SiteOptions {
    readonly layout: SiteLayout;
    /** Program and arguments of a daemon, without `--settings FILE`. */
    readonly daemonCommand?: readonly string[] | undefined;
    readonly daemonEnvironment?: Readonly<Record<string, string>> | undefined;
    readonly seed?: number | undefined;
    /** Number of processes that host the backend servers. */
    readonly hostProcesses?: number | undefined;
    readonly stopNoticeMs?: number | undefined;
    readonly logRetentionMs?: number | undefined;
    /** Overrides the service times of the layout. */
    readonly serviceTime?: ServiceTimeSettings | undefined;
    /** Overrides the number of entry VMs of the layout. */
    readonly daemons?: number | undefined;
}
