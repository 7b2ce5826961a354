import type { StoreCopy, StoreStandIn } from "@marigoldstall-private/platform";

const COPY_INTERVAL_MS = 250;
const MAX_COPIES = 60;

/** Takes copies of the store at short intervals and keeps those of the last seconds. */
export class StoreCopies {
    private readonly store: StoreStandIn;
    private readonly copies: { readonly takenAtMs: number; readonly copy: StoreCopy; }[] = [];
    private timer: NodeJS.Timeout | undefined;

    constructor(store: StoreStandIn) {
        this.store = store;
    }

    start(): void {
        this.timer = setInterval(() => {
            this.copies.push({ takenAtMs: performance.now(), copy: this.store.takeCopy() });
            if (this.copies.length > MAX_COPIES) {
                this.copies.shift();
            }
        }, COPY_INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Returns the newest copy that is at least this old, or the oldest one. */
    find(ageMs: number): StoreCopy | undefined {
        const maxTakenAtMs = performance.now() - ageMs;
        return (this.copies.findLast(({ takenAtMs }) => takenAtMs <= maxTakenAtMs) ?? this.copies[0])?.copy;
    }
}
