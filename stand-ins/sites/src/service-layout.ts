import type { ServiceTimeSettings } from "@marigoldstall-private/backend-server";

/** Number and service time of the backend servers of one service at a site. */
export interface ServiceLayout {
    readonly service: string;
    readonly backendServers: number;
    readonly serviceTime: ServiceTimeSettings;
}
