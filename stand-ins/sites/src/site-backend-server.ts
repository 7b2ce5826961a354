/** Backend server of a running site. */
export interface SiteBackendServer {
    readonly vmId: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly address: string;
    /** Base URL of the control paths, which stays reachable when the server has crashed. */
    readonly controlUrl: string;
}
