/** A difference between two versions of the targets. */
export interface TargetsChange {
    readonly kind: "added" | "removed" | "changed";
    /** `site`, `measuring.probesPerSecond` or `class SERVICE/NAME`. */
    readonly subject: string;
    /** Changed key within a class, such as `lateness.withinMs`. Undefined when the whole subject changed. */
    readonly key: string | undefined;
    readonly before: unknown;
    readonly after: unknown;
}
