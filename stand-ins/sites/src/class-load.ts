/** Calls of one class that the demonstration sends. Targets are in the site's YAML file. */
export interface ClassLoad {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly ratePerSecond: number;
    readonly repeatable: boolean;
    readonly bodyBytes: number;
    readonly responseBytes: number;
}
