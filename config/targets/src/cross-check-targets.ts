import type { ValueProblem } from "@marigoldstall/config.schema";
import type { Targets } from "@marigoldstall/core.types";

// Daemons fetch a configuration from each other in one call, whose body is at most 256 KiB.
const MAX_TARGETS_BYTES = 200 * 1024;

/** Finds what is wrong between several keys: names used twice, rules never reached, targets too large. */
export const crossCheckTargets = (targets: Targets): readonly ValueProblem[] => {
    const problems: ValueProblem[] = [];
    const nameOwners = new Map<string, number>();
    const ruleOwners = new Map<string, string>();
    targets.classes.forEach((target, classIndex) => {
        const nameKey = `${target.service} ${target.name}`;
        const nameOwner = nameOwners.get(nameKey);
        if (nameOwner !== undefined) {
            problems.push({
                path: ["classes", classIndex, "name"],
                message: `expected a name not used by classes[${nameOwner}] of service ${target.service}`,
            });
        }
        nameOwners.set(nameKey, nameOwner ?? classIndex);
        target.match.forEach((rule, ruleIndex) => {
            rule.methods.forEach((method, methodIndex) => {
                const ruleKey = `${target.service} ${method} ${rule.pathPrefix}`;
                const owner = ruleOwners.get(ruleKey);
                if (owner !== undefined) {
                    problems.push({
                        path: ["classes", classIndex, "match", ruleIndex, "methods", methodIndex],
                        message: `never reached, ${owner} already matches ${method} ${rule.pathPrefix}`,
                    });
                }
                ruleOwners.set(ruleKey, owner ?? `classes[${classIndex}].match[${ruleIndex}]`);
            });
        });
    });
    const bytes = Buffer.byteLength(JSON.stringify(targets));
    if (bytes > MAX_TARGETS_BYTES) {
        problems.push({
            path: [],
            message: `expected at most ${MAX_TARGETS_BYTES} bytes as JSON, found ${bytes} bytes`,
        });
    }
    return problems;
};
