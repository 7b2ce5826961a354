/** Lower part of a version number. No stream of configurations gets as many records. */
const VERSIONS_PER_ERA = 1_000_000_000;

interface VersionPlace {
    /** Era of the log, which rises when it is restored from an older copy. */
    readonly era: number;
    /** Newest valid version before the record, 0 if there is none. */
    readonly newest: number;
}

/**
 * Version numbers carry the era of the log in which they were published. A version that is published after a restore is
 * therefore above all that the restore lost, and versions are ordered by their number alone.
 */
export const versionNumbers = {
    eraOf: (version: number): number => Math.floor(version / VERSIONS_PER_ERA),
    next: ({ era, newest }: VersionPlace): number => {
        const newestEra = versionNumbers.eraOf(newest);
        return newest + 1 + Math.max(0, era - newestEra) * VERSIONS_PER_ERA;
    },
    /** The version that a restart record at an offset publishes. It exceeds those in the records that were removed. */
    ofRestart: (opts: { readonly era: number; readonly offset: number; }): number =>
        opts.era * VERSIONS_PER_ERA + opts.offset + 1,
} as const;
