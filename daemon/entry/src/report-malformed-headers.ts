import type { ServerResponseHead } from "@marigoldstall/platform.adapter";
import type { EntryMetrics } from "./entry-metrics.js";
import type { JsonLogger } from "./json-logger.js";

const MAX_LOGGED_LENGTH = 200;

/** Logs and counts the headers of a server's response that could not be parsed and are ignored. */
export const reportMalformedHeaders = (head: ServerResponseHead, opts: {
    readonly instanceId: string;
    readonly log: JsonLogger;
    readonly metrics: EntryMetrics;
}): void => {
    for (const header of head.malformedHeaders) {
        opts.metrics.malformedHeaders.inc();
        opts.log.write("server-header-malformed", {
            instanceId: opts.instanceId,
            problem: header.slice(0, MAX_LOGGED_LENGTH),
        });
    }
};
