/** One difference between two versions of the targets. */
export interface TargetsChange {
    readonly kind: "added" | "removed" | "changed";
    /** `site`, `measuring.probesPerSecond` or `class SERVICE/NAME`. */
    readonly subject: string;
    /** The changed key of a class, such as `lateness.withinMs`; undefined when the subject is the key. */
    readonly key: string | undefined;
    readonly before: unknown;
    readonly after: unknown;
}
