/** Admits at most `perSecond` events in any window of one second. */
export class RateLimit {
    private readonly perSecond: number;
    private admittedAtMs: number[] = [];

    constructor(opts: { readonly perSecond: number; }) {
        this.perSecond = opts.perSecond;
    }

    admit(atMs: number): boolean {
        const expired = this.admittedAtMs.findIndex(admitted => admitted > atMs - 1000);
        this.admittedAtMs = expired === -1 ? [] : this.admittedAtMs.slice(expired);
        if (this.admittedAtMs.length >= this.perSecond) {
            return false;
        }
        this.admittedAtMs.push(atMs);
        return true;
    }
}
