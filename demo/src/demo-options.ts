import type { SiteLayout } from "@marigoldstall-private/sites";

/** Options of the demonstration. */
export interface DemoOptions {
    readonly layout: SiteLayout;
    readonly seed: number;
    /** Duration for which calls are sent. */
    readonly durationMs: number;
    /** Keeps the site running after the demonstration. */
    readonly stay: boolean;
    /** Keeps the settings files and logs of the processes. */
    readonly keep: boolean;
    readonly print: (line: string) => void;
    readonly signal: AbortSignal;
}
