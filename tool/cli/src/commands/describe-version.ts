import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Formats a version for terminal output. */
export const describeVersion = (configuration: AcceptedConfiguration | undefined): string =>
    configuration === undefined
        ? "no version"
        : `version ${configuration.version} by ${configuration.author} (${configuration.publishId})`;
