/** Lower part of a term number. Offsets stay below it for 136 years at one record per second. */
const TERMS_PER_ERA = 2 ** 32;

/**
 * Term numbers carry the era of the log in which the share's terms were restarted. A term from before a restore of the
 * log is therefore below all terms after it, and a message or late record about it never fits a term after it.
 */
export const termNumbers = {
    eraOf: (term: number): number => Math.floor((term - 1) / TERMS_PER_ERA),
    /** The term that a restart record at an offset starts. It exceeds all term numbers in the lost records. */
    ofRestart: (opts: { readonly era: number; readonly offset: number; }): number =>
        opts.era * TERMS_PER_ERA + opts.offset + 1,
} as const;
