import type { CallRecord } from "@marigoldstall-private/caller";

const CODE_PREFIX = "ERR_MARIGOLDSTALL_";

/** Lists why calls were not completed, second copies included, with the number of calls. */
export const formatReasons = (calls: readonly CallRecord[]): string => {
    const counts = new Map<string, number>();
    for (const call of calls.filter(candidate => candidate.outcome !== "completed")) {
        const reason = call.reason?.replace(CODE_PREFIX, "") ?? call.errorCode ?? `status ${call.status}`;
        const key = `${call.className} ${call.outcome}: ${reason}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    const lines = [...counts].sort(([a], [b]) => a < b ? -1 : 1).map(([key, count]) => `  ${key} (${count})`);
    return ["not completed, second copies included:", ...lines].join("\n");
};
