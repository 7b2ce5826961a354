/** Overload signal of a service, from 0 (its urgent classes meet their targets) to 1. */
export interface Pressure {
    readonly service: string;
    readonly level: number;
}
