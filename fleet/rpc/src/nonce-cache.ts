interface NonceCacheOptions {
    /** How long a nonce has to be remembered. */
    readonly windowMs: number;
    readonly capacity: number;
}

/** Remembers nonces for at least the window, in two generations, so that expiry costs nothing per call. */
export class NonceCache {
    private readonly opts: NonceCacheOptions;
    private current = new Set<string>();
    private former = new Set<string>();
    private rotatedAtMs = 0;

    constructor(opts: NonceCacheOptions) {
        this.opts = opts;
    }

    /** Whether the nonce is new. A full cache accepts nothing: forgetting a nonce would allow its replay. */
    add(nonce: string, nowMs: number): boolean {
        if (nowMs - this.rotatedAtMs >= this.opts.windowMs) {
            this.former = nowMs - this.rotatedAtMs >= 2 * this.opts.windowMs ? new Set() : this.current;
            this.current = new Set();
            this.rotatedAtMs = nowMs;
        }
        if (this.current.has(nonce) || this.former.has(nonce) || this.current.size >= this.opts.capacity) {
            return false;
        }
        this.current.add(nonce);
        return true;
    }
}
