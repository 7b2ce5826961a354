interface ChangeTrackerOptions {
    /** Time after its acceptance at which a change must be in force on all VMs. */
    readonly limitMs: number;
    /** Time of the latest fault that may have kept a VM from learning of a change. */
    readonly lastFaultAtMs: () => number;
}

/** Tracks when changes in the store must be in force. A restore of the store may undo a change that was accepted. */
export class ChangeTracker {
    private readonly opts: ChangeTrackerOptions;
    private readonly checks = new Map<string, () => boolean>();
    /** Time since which the store holds a change. */
    private readonly acceptedAtMs = new Map<string, number>();
    private readonly settled = new Map<string, number>();

    constructor(opts: ChangeTrackerOptions) {
        this.opts = opts;
    }

    add(key: string, isInStore: () => boolean): void {
        this.checks.set(key, isInStore);
        this.update();
    }

    /** Compares the changes with the store. Call it after each change of the store and at short intervals. */
    update(): void {
        const nowMs = performance.now();
        for (const [key, isInStore] of this.checks) {
            if (!isInStore()) {
                this.acceptedAtMs.delete(key);
            }
            else if (!this.acceptedAtMs.has(key)) {
                this.acceptedAtMs.set(key, nowMs);
            }
            if (this.isDue(key) && !this.settled.has(key)) {
                this.settled.set(key, nowMs);
            }
        }
    }

    /** Whether the change must be in force on all VMs, as the store has held it for long enough without faults. */
    isDue(key: string): boolean {
        const nowMs = performance.now();
        const { limitMs, lastFaultAtMs } = this.opts;
        const acceptedAtMs = this.acceptedAtMs.get(key) ?? Infinity;
        return nowMs - acceptedAtMs > limitMs && nowMs - lastFaultAtMs() > 2 * limitMs;
    }

    /** Time from which no VM may undo the change, even when the store does. Undefined before that. */
    settledAtMs(key: string): number | undefined {
        return this.settled.get(key);
    }
}
