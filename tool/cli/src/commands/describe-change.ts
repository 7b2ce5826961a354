import type { TargetsChange } from "@marigoldstall/config.targets";

const SIGNS = { added: "+", removed: "-", changed: "~" } as const;

const show = (value: unknown): string => typeof value === "string" ? value : JSON.stringify(value);

/** One line for one difference between two versions of the targets. */
export const describeChange = (change: TargetsChange): string => {
    const subject = change.key === undefined ? change.subject : `${change.subject} ${change.key}`;
    const line = `${SIGNS[change.kind]} ${subject}`;
    return change.kind === "changed" ? `${line}: ${show(change.before)} -> ${show(change.after)}` : line;
};
