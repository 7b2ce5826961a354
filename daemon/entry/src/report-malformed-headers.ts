import type { ServerResponseHead } from "@marigoldstall/platform.adapter";
import type { EntryMetrics } from "./entry-metrics.js";
import type { RefusedInputs } from "./refused-inputs.js";

const MAX_LOGGED_LENGTH = 200;

/** Logs and counts the headers of a server's response that could not be parsed and are ignored. */
export const reportMalformedHeaders = (head: ServerResponseHead, opts: {
    readonly instanceId: string;
    readonly refusedInputs: RefusedInputs;
    readonly metrics: EntryMetrics;
}): void => {
    for (const header of head.malformedHeaders) {
        opts.metrics.malformedHeaders.inc();
        opts.refusedInputs.record("server-header-malformed", {
            instanceId: opts.instanceId,
            problem: header.slice(0, MAX_LOGGED_LENGTH),
        });
    }
};
