/** Calls of one class that the demo sends to a site. The targets of the class are in the YAML file of the site. */
export interface ClassLoad {
    readonly name: string;
    readonly method: string;
    readonly path: string;
    readonly ratePerSecond: number;
    readonly repeatable: boolean;
    readonly bodyBytes: number;
    readonly responseBytes: number;
}
