interface NonceCacheOptions {
    /** Minimum time for which a nonce is kept. */
    readonly windowMs: number;
    readonly capacity: number;
}

/** Detects replayed nonces. Keeps each for at least the window, in two generations, so expiry is free per call. */
export class NonceCache {
    private readonly opts: NonceCacheOptions;
    private current = new Set<string>();
    private previous = new Set<string>();
    private rotatedAtMs = 0;

    constructor(opts: NonceCacheOptions) {
        this.opts = opts;
    }

    /** Adds a nonce and returns whether it is new. A full cache accepts none: evicting one would allow its replay. */
    add(nonce: string, nowMs: number): boolean {
        if (nowMs - this.rotatedAtMs >= this.opts.windowMs) {
            this.previous = nowMs - this.rotatedAtMs >= 2 * this.opts.windowMs ? new Set() : this.current;
            this.current = new Set();
            this.rotatedAtMs = nowMs;
        }
        if (this.current.has(nonce) || this.previous.has(nonce) || this.current.size >= this.opts.capacity) {
            return false;
        }
        this.current.add(nonce);
        return true;
    }
}
