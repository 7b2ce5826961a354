import type { ServiceTimeSettings } from "@marigoldstall-private/backend-server";

/** Backend servers of one service at a site. */
export interface ServiceLayout {
    readonly service: string;
    readonly backendServers: number;
    readonly serviceTime: ServiceTimeSettings;
}
