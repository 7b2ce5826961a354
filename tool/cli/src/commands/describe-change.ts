import type { TargetsChange } from "@marigoldstall/config.targets";

const SIGNS = { added: "+", removed: "-", changed: "~" } as const;

const formatValue = (value: unknown): string => typeof value === "string" ? value : JSON.stringify(value);

/** Formats a difference between two versions of the targets as one line. */
export const describeChange = (change: TargetsChange): string => {
    const subject = change.key === undefined ? change.subject : `${change.subject} ${change.key}`;
    const line = `${SIGNS[change.kind]} ${subject}`;
    return change.kind === "changed" ? `${line}: ${formatValue(change.before)} -> ${formatValue(change.after)}` : line;
};
