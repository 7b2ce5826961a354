import { createEntryState, parseHedgeShare } from "@marigoldstall/daemon.entry";
import { expect } from "chai";
import { EntryMetrics } from "../src/entry-metrics.js";
import type { JsonLogger } from "../src/json-logger.js";
import { logDecision } from "../src/log-decision.js";
import { createModelSettings } from "./create-model-settings.js";

describe("daemon.entry, value of --hedge-share", () => {
    it("is a number from 0 to 1", () => {
        for (const [text, share] of [["0", 0], ["0.02", 0.02], ["1", 1], ["5e-2", 0.05]] as const) {
            expect(parseHedgeShare(text)._unsafeUnwrap(), text).to.equal(share);
        }
    });

    // A value that is taken for another one would send more extra requests than the operator allows, or none.
    it("is refused if it is anything else", () => {
        for (const text of ["", " ", "-0.01", "1.01", "2%", "0,02", "NaN", "Infinity", "often"]) {
            const error = parseHedgeShare(text)._unsafeUnwrapErr();
            expect(error.code, text).to.contain("HEDGE_SHARE_INVALID");
            expect(error.message, text).to.contain(JSON.stringify(text));
        }
    });

    it("reaches the dispatch slice, and is 0 without the option", () => {
        const settings = createModelSettings(0, 0);
        for (const [hedgeShare, expected] of [[0.05, 0.05], [undefined, 0]] as const) {
            const state = createEntryState(settings, { atMs: 0, incarnation: "1", hedgeShare });
            expect(state.dispatch.hedgeShare).to.equal(expected);
        }
    });

    // Without the result, operators cannot tell whether the extra attempts are worth it.
    it("has its hedges counted by result", async () => {
        const metrics = new EntryMetrics();
        const log = { write: () => undefined } as unknown as JsonLogger;
        for (const reason of ["won", "won", "lost"]) {
            logDecision({ kind: "hedge-ended", reason, inputs: {} }, { metrics, log });
        }
        const text = await metrics.registry.metrics();
        expect(text).to.contain("marigoldstall_hedges_total{result=\"won\"} 2")
            .and.to.contain("marigoldstall_hedges_total{result=\"lost\"} 1");
    });
});
