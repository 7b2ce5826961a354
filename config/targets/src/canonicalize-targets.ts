import type { ClassTargets, MatchRule, Targets } from "@marigoldstall/core.types";

const compareTexts = (left: string, right: string): number => left < right ? -1 : left > right ? 1 : 0;

const canonicalizeRule = (rule: MatchRule): MatchRule => ({
    methods: [...new Set(rule.methods)].sort(compareTexts),
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
        compareTexts(left.pathPrefix, right.pathPrefix) || compareTexts(left.methods.join(), right.methods.join())
    ),
});

/** Puts keys, classes, rules and methods in one fixed order. None of these orders has a meaning. */
export const canonicalizeTargets = (targets: Targets): Targets => ({
    site: targets.site,
    measuring: { probesPerSecond: targets.measuring.probesPerSecond },
    classes: targets.classes.map(canonicalizeClass).sort((left, right) =>
        compareTexts(left.service, right.service) || compareTexts(left.name, right.name)
    ),
});
