import type { ValueProblem } from "@marigoldstall/config.schema";
import type { Targets } from "@marigoldstall/core.types";

// Daemons fetch a configuration from each other in one call, whose body is limited to 256 KiB.
const MAX_TARGETS_BYTES = 200 * 1024;

/** Finds problems that span several keys: duplicate class names, unreachable rules and targets that are too large. */
export const crossCheckTargets = (targets: Targets): readonly ValueProblem[] => {
    const problems: ValueProblem[] = [];
    const classIndexByName = new Map<string, number>();
    const rulePathByKey = new Map<string, string>();
    targets.classes.forEach((target, classIndex) => {
        const nameKey = `${target.service} ${target.name}`;
        const duplicateOf = classIndexByName.get(nameKey);
        if (duplicateOf !== undefined) {
            problems.push({
                path: ["classes", classIndex, "name"],
                message: `expected a name not used by classes[${duplicateOf}] of service ${target.service}`,
            });
        }
        classIndexByName.set(nameKey, duplicateOf ?? classIndex);
        target.match.forEach((rule, ruleIndex) => {
            rule.methods.forEach((method, methodIndex) => {
                const ruleKey = `${target.service} ${method} ${rule.pathPrefix}`;
                const earlierRule = rulePathByKey.get(ruleKey);
                if (earlierRule !== undefined) {
                    problems.push({
                        path: ["classes", classIndex, "match", ruleIndex, "methods", methodIndex],
                        message: `never reached, ${earlierRule} already matches ${method} ${rule.pathPrefix}`,
                    });
                }
                rulePathByKey.set(ruleKey, earlierRule ?? `classes[${classIndex}].match[${ruleIndex}]`);
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
