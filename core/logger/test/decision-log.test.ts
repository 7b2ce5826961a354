import { DecisionLog, formatDecision } from "@marigoldstall/core.logger";
import type { Decision } from "@marigoldstall/core.types";
import { expect } from "chai";

const createDecision = (requestId: string, reason = "lowest estimate"): Decision => ({
    kind: "select",
    requestId,
    service: "statusdesk",
    className: "status-check",
    candidates: ["127.0.0.1:9001"],
    choice: "127.0.0.1:9001",
    reason,
});

describe("DecisionLog", () => {
    describe("findByRequestId", () => {
        it("returns the decisions of one request in order after the ring buffer has wrapped around", () => {
            const log = new DecisionLog({ capacity: 3, write: () => undefined });
            for (const [index, requestId] of ["a", "b", "a", "c", "a"].entries()) {
                log.record("routing", createDecision(requestId), index);
            }
            expect(log.findByRequestId("a").map(logged => logged.wallMs)).to.deep.equal([2, 4]);
            expect(log.findByRequestId("b")).to.deep.equal([]);
        });
    });

    describe("formatDecision", () => {
        it("escapes line breaks and terminal sequences in text from callers", () => {
            const line = formatDecision({
                concern: "routing",
                wallMs: 1,
                decision: createDecision("x\n\u001b[2J\u2028\u009b%s", "forged\r\nline"),
            });
            expect(line).to.match(/^[\x20-\x7e]+$/);
        });

        it("bounds the length of a line, however long the text from a caller is", () => {
            const line = formatDecision({
                concern: "routing",
                wallMs: 1,
                decision: createDecision("y".repeat(100_000)),
            });
            expect(line.length).to.be.lessThan(2_000);
        });
    });
});
