/** Addresses and files of the daemon of one entry VM of a running site. */
export interface SiteDaemon {
    readonly vmId: string;
    readonly availabilityZone: string;
    readonly callerAddress: string;
    readonly controlAddress: string;
    readonly operatorAddress: string;
    readonly settingsFile: string;
    readonly logFile: string;
}
