import type { ClassTargets, MatchRule, Targets } from "@marigoldstall/core.types";

const compareStrings = (left: string, right: string): number => left < right ? -1 : left > right ? 1 : 0;

const canonicalizeRule = (rule: MatchRule): MatchRule => ({
    methods: [...new Set(rule.methods)].sort(compareStrings),
    pathPrefix: rule.pathPrefix,
});

const canonicalizeClass = (target: ClassTargets): ClassTargets => ({
    name: target.name,
    service: target.service,
    urgency: target.urgency,
    repeatable: target.repeatable,
    lateness: { percentile: target.lateness.percentile, withinMs: target.lateness.withinMs },
    turnedAwayAtMostPercent: target.turnedAwayAtMostPercent,
    match: target.match.map(canonicalizeRule).sort((left, right) =>
        compareStrings(left.pathPrefix, right.pathPrefix) || compareStrings(left.methods.join(), right.methods.join())
    ),
});

/** Sorts keys, classes, rules and methods into a canonical order. Their order has no meaning in the targets. */
export const canonicalizeTargets = (targets: Targets): Targets => ({
    site: targets.site,
    measuring: { probesPerSecond: targets.measuring.probesPerSecond },
    classes: targets.classes.map(canonicalizeClass).sort((left, right) =>
        compareStrings(left.service, right.service) || compareStrings(left.name, right.name)
    ),
});
