import type { LogFaultSettings } from "./log-fault-settings.js";

type CountedFault = "loseAppendAnswers" | "refuseAppends" | "dropAppends";

/** Injected faults per stream and for all streams. The faults of a stream override those for all streams. */
export class FaultTable {
    private readonly byScope = new Map<string | undefined, LogFaultSettings>();

    /** Replaces the faults of one stream, or those for all streams when `stream` is undefined. */
    set(stream: string | undefined, faults: LogFaultSettings): void {
        this.byScope.set(stream, faults);
    }

    get(stream: string): LogFaultSettings {
        return { ...this.byScope.get(undefined), ...this.byScope.get(stream) };
    }

    /** Decrements the counter of a fault. Returns false when none are left. */
    consume(stream: string, kind: CountedFault): boolean {
        for (const scope of [stream, undefined]) {
            const faults = this.byScope.get(scope);
            const remaining = faults?.[kind] ?? 0;
            if (remaining > 0) {
                this.byScope.set(scope, { ...faults, [kind]: remaining - 1 });
                return true;
            }
        }
        return false;
    }

    list(): readonly { readonly stream: string | undefined; readonly faults: LogFaultSettings; }[] {
        return [...this.byScope].map(([stream, faults]) => ({ stream, faults }));
    }
}
