import type { DecisionRecord } from "@marigoldstall/routing.dispatch";
import type { EntryMetrics } from "./entry-metrics.js";
import type { JsonLogger } from "./json-logger.js";

const MS_PER_SECOND = 1_000;

/** Writes a decision to the log and counts it. */
export const logDecision = (
    decision: DecisionRecord,
    opts: { readonly metrics: EntryMetrics; readonly log: JsonLogger; },
): void => {
    const { kind, requestId, service, instanceId, reason, inputs } = decision;
    const { metrics, log } = opts;
    metrics.decisions.inc({ kind, reason: reason ?? "" });
    if (kind === "answer" && typeof inputs["totalMs"] === "number") {
        metrics.requestDurations.observe({ service: service ?? "" }, inputs["totalMs"] / MS_PER_SECOND);
    }
    if (kind === "hedge-ended") {
        metrics.hedges.inc({ result: reason ?? "" });
    }
    log.write(kind, { requestId, service, instanceId, reason, ...inputs });
};
