import type { ClassTargets, Targets } from "@marigoldstall/core.types";
import { canonicalizeTargets } from "./canonicalize-targets.js";
import type { TargetsChange } from "./targets-change.js";

const listFields = (target: ClassTargets): Readonly<Record<string, unknown>> => ({
    "urgency": target.urgency,
    "repeatable": target.repeatable,
    "lateness.percentile": target.lateness.percentile,
    "lateness.withinMs": target.lateness.withinMs,
    "turnedAwayAtMostPercent": target.turnedAwayAtMostPercent,
    "match": target.match,
});

const diffClass = (subject: string, before: ClassTargets, after: ClassTargets): readonly TargetsChange[] => {
    const afterFields = listFields(after);
    return Object.entries(listFields(before))
        .filter(([key, value]) => JSON.stringify(value) !== JSON.stringify(afterFields[key]))
        .map(([key, value]) => ({ kind: "changed", subject, key, before: value, after: afterFields[key] }));
};

const indexClasses = (targets: Targets | undefined): ReadonlyMap<string, ClassTargets> =>
    new Map(targets?.classes.map(target => [`class ${target.service}/${target.name}`, target]));

const diffValue = (subject: string, before: unknown, after: unknown): readonly TargetsChange[] =>
    before === after
        ? []
        : [{ kind: before === undefined ? "added" : "changed", subject, key: undefined, before, after }];

/** Lists the differences between two versions of the targets, ignoring order and formatting. */
export const diffTargets = (before: Targets | undefined, after: Targets): readonly TargetsChange[] => {
    const canonicalBefore = before === undefined ? undefined : canonicalizeTargets(before);
    const canonicalAfter = canonicalizeTargets(after);
    const classesBefore = indexClasses(canonicalBefore);
    const classesAfter = indexClasses(canonicalAfter);
    const removed = [...classesBefore].filter(([subject]) => !classesAfter.has(subject));
    return [
        ...diffValue("site", before?.site, after.site),
        ...diffValue("measuring.probesPerSecond", before?.measuring.probesPerSecond, after.measuring.probesPerSecond),
        ...removed.map(([subject, target]): TargetsChange => (
            { kind: "removed", subject, key: undefined, before: target, after: undefined }
        )),
        ...[...classesAfter].flatMap(([subject, target]): readonly TargetsChange[] => {
            const earlier = classesBefore.get(subject);
            return earlier === undefined
                ? [{ kind: "added", subject, key: undefined, before: undefined, after: target }]
                : diffClass(subject, earlier, target);
        }),
    ];
};
