/** A server whose registration was removed. A copy from which the store is restored may still contain it. */
export interface DepartedServer {
    readonly startedAtUnixMs: number;
    readonly isDraining: boolean;
    readonly removedAtMs: number;
}
