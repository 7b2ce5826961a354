/** Overload signal of a service: 0 when its urgent classes meet their targets, up to 1. */
export interface Pressure {
    readonly service: string;
    readonly level: number;
}
