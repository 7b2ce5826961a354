import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Summarizes a version for JSON output, without its targets. */
export const summarizeVersion = (configuration: AcceptedConfiguration | undefined) =>
    configuration === undefined ? undefined : {
        version: configuration.version,
        author: configuration.author,
        publishId: configuration.publishId,
        offset: configuration.offset,
        digest: configuration.digest,
        site: configuration.targets.site,
    };
