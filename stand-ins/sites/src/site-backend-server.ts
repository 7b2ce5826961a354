/** One backend server of a running site. */
export interface SiteBackendServer {
    readonly vmId: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly address: string;
    /** Base of its control path, which answers also when it has crashed. */
    readonly controlUrl: string;
}
