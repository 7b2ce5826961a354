/** Sliding-window rate limiter that admits at most `perSecond` events in any one second. */
export class RateLimiter {
    private readonly perSecond: number;
    private admittedAtMs: number[] = [];

    constructor(opts: { readonly perSecond: number; }) {
        this.perSecond = opts.perSecond;
    }

    tryAcquire(atMs: number): boolean {
        const firstRecent = this.admittedAtMs.findIndex(admitted => admitted > atMs - 1000);
        this.admittedAtMs = firstRecent === -1 ? [] : this.admittedAtMs.slice(firstRecent);
        if (this.admittedAtMs.length >= this.perSecond) {
            return false;
        }
        this.admittedAtMs.push(atMs);
        return true;
    }
}
