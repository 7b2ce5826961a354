import type { LogFaultSettings } from "./log-fault-settings.js";

type CountedFault = "loseAppendAnswers" | "refuseAppends" | "dropAppends";

/** Faults in force, per stream and for all streams. The faults of a stream come before those of all. */
export class FaultTable {
    private readonly byScope = new Map<string | undefined, LogFaultSettings>();

    /** Replaces the faults of a scope: a stream, or all streams when `stream` is undefined. */
    set(stream: string | undefined, faults: LogFaultSettings): void {
        this.byScope.set(stream, faults);
    }

    get(stream: string): LogFaultSettings {
        return { ...this.byScope.get(undefined), ...this.byScope.get(stream) };
    }

    /** Uses one of a counted fault, and tells whether there was one. */
    take(stream: string, kind: CountedFault): boolean {
        for (const scope of [stream, undefined]) {
            const faults = this.byScope.get(scope);
            const left = faults?.[kind] ?? 0;
            if (left > 0) {
                this.byScope.set(scope, { ...faults, [kind]: left - 1 });
                return true;
            }
        }
        return false;
    }

    list(): readonly { readonly stream: string | undefined; readonly faults: LogFaultSettings; }[] {
        return [...this.byScope].map(([stream, faults]) => ({ stream, faults }));
    }
}
