import type { RoutingConfiguration } from "@marigoldstall/core.types";

/** A configuration with the text that it was read from, which is what peers are given. */
export interface KnownConfiguration {
    readonly text: string;
    readonly configuration: RoutingConfiguration;
}
