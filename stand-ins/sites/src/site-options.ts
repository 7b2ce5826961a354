import type { ServiceTimeSettings } from "@marigoldstall-private/backend-server";
import type { SiteLayout } from "./site-layout.js";

/** Options of starting a site. */
export interface SiteOptions {
    readonly layout: SiteLayout;
    /** Program and parameters of a daemon, before `--settings FILE`. */
    readonly daemonCommand?: readonly string[] | undefined;
    readonly daemonEnvironment?: Readonly<Record<string, string>> | undefined;
    readonly seed?: number | undefined;
    /** Processes that host the backend servers. */
    readonly hostProcesses?: number | undefined;
    readonly stopNoticeMs?: number | undefined;
    readonly logRetentionMs?: number | undefined;
    /** Takes the place of the layout's service times. */
    readonly serviceTime?: ServiceTimeSettings | undefined;
    /** Number of daemons, where the layout's number is not wanted. */
    readonly daemons?: number | undefined;
}
