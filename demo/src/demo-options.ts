import type { SiteLayout } from "@marigoldstall-private/sites";

/** Options of the demonstration. */
export interface DemoOptions {
    readonly layout: SiteLayout;
    readonly seed: number;
    /** Time for which calls are sent. */
    readonly durationMs: number;
    /** Keeps the site running afterwards. */
    readonly stay: boolean;
    /** Keeps settings files and logs of the processes. */
    readonly keep: boolean;
    readonly print: (line: string) => void;
    readonly signal: AbortSignal;
}
