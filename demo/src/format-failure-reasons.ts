import type { CallRecord } from "@marigoldstall-private/caller";

const CODE_PREFIX = "ERR_MARIGOLDSTALL_";

/** Lists the reasons why calls were not completed, with the number of calls. Duplicates are counted as well. */
export const formatFailureReasons = (calls: readonly CallRecord[]): string => {
    const counts = new Map<string, number>();
    for (const call of calls.filter(candidate => candidate.outcome !== "completed")) {
        const reason = call.reason?.replace(CODE_PREFIX, "") ?? call.errorCode ?? `status ${call.status}`;
        const key = `${call.className} ${call.outcome}: ${reason}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    const lines = [...counts].sort(([a], [b]) => a < b ? -1 : 1).map(([key, count]) => `  ${key} (${count})`);
    return ["calls not completed, including duplicates:", ...lines].join("\n");
};
