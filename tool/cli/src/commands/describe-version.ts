import type { AcceptedConfiguration } from "@marigoldstall/core.types";

/** Names a version for a person. */
export const describeVersion = (configuration: AcceptedConfiguration | undefined): string =>
    configuration === undefined
        ? "no version"
        : `version ${configuration.version} by ${configuration.author} (${configuration.publishId})`;
