import type { StorePosition } from "./store-position.js";

/** What the operator's latest known record says about a zone. */
export interface ZoneEvacuation {
    readonly zone: string;
    /** Position of the record. */
    readonly position: StorePosition;
    /** False if the evacuation was taken back. */
    readonly isEvacuated: boolean;
}
