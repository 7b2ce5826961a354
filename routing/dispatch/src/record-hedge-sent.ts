import { rollingCounts } from "@marigoldstall/routing.state";
import type { DispatchDraft } from "./dispatch-draft.js";

/** Counts a hedge that is sent against the configured share. */
export const recordHedgeSent = (draft: DispatchDraft, name: string): void => {
    if (draft.state.hedgeShare === 0) {
        return;
    }
    const { hedging } = draft.service(name);
    const { credit, hedges } = hedging;
    draft.updateService(name, {
        hedging: { ...hedging, credit: credit - 1, hedges: rollingCounts.add(hedges, draft.atMs) },
    });
};
