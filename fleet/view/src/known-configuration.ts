import type { RoutingConfiguration } from "@marigoldstall/core.types";

/** A configuration and its source text, which is sent to peers. */
export interface KnownConfiguration {
    readonly text: string;
    readonly configuration: RoutingConfiguration;
}
