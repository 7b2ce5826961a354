import type { MarigoldstallErrorOptions } from "./marigoldstall-error-options.js";

const CODE_PREFIX = "ERR_MARIGOLDSTALL_";

/** Error shown to users. Its code is stable across releases. */
export class MarigoldstallError extends Error {
    readonly code: string;
    readonly step: string;
    readonly peer: string | undefined;
    readonly hint: string | undefined;

    constructor(opts: MarigoldstallErrorOptions) {
        super(opts.message, { cause: opts.cause });
        this.name = "MarigoldstallError";
        this.code = CODE_PREFIX + opts.code;
        this.step = opts.step;
        this.peer = opts.peer;
        this.hint = opts.hint;
    }
}
