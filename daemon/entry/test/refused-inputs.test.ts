import { decodeServerResponseHead } from "@marigoldstall/platform.adapter";
import { expect } from "chai";
import { EntryMetrics } from "../src/entry-metrics.js";
import { RefusedInputs } from "../src/refused-inputs.js";
import { reportMalformedHeaders } from "../src/report-malformed-headers.js";

describe("RefusedInputs", () => {
    let atMs: number;
    let lines: (readonly [string, Readonly<Record<string, unknown>>])[];
    let metrics: EntryMetrics;
    let inputs: RefusedInputs;

    beforeEach(() => {
        atMs = 0;
        lines = [];
        metrics = new EntryMetrics();
        inputs = new RefusedInputs({
            metrics,
            log: {
                write: (kind, fields) => {
                    lines.push([kind, fields]);
                },
            },
            nowMs: () => atMs,
        });
    });

    // Each malformed datagram of a stranger took a log line, and 2,000 a second displaced all others.
    it("counts all of them and logs five of each kind in a second", async () => {
        for (let count = 0; count < 3_000; count += 1) {
            inputs.record("datagram-refused", { peer: "127.0.0.9" });
        }
        inputs.record("registration-malformed", { instanceId: "i-0" });
        expect(lines.map(([kind]) => kind)).to.deep.equal([
            ...[...Array(5)].map(() => "datagram-refused"),
            "registration-malformed",
        ]);
        const { values } = await metrics.refusedInputs.get();
        expect(values.map(({ labels, value }) => [labels.kind, value])).to.deep.equal([
            ["datagram-refused", 3_000],
            ["registration-malformed", 1],
        ]);
    });

    it("tells in the next line how many were not logged", () => {
        for (let count = 0; count < 8; count += 1) {
            inputs.record("datagram-refused", { peer: "127.0.0.9" });
        }
        atMs = 1_000;
        inputs.record("datagram-refused", { peer: "127.0.0.9" });
        inputs.record("datagram-refused", { peer: "127.0.0.9" });
        expect(lines.slice(-2)).to.deep.equal([
            ["datagram-refused", { peer: "127.0.0.9", unloggedCount: 3 }],
            ["datagram-refused", { peer: "127.0.0.9" }],
        ]);
    });

    // A server states its headers in each response, so a malformed one wrote a line for each request.
    it("bounds the lines about malformed headers of servers, and counts all of them", async () => {
        const malformedHeaders = ["Retry-After: tomorrow"];
        const head = { ...decodeServerResponseHead(503, {}), malformedHeaders };
        for (let count = 0; count < 100; count += 1) {
            reportMalformedHeaders(head, { instanceId: "i-0", refusedInputs: inputs, metrics });
        }
        expect(lines.length).to.equal(5);
        expect(lines[0]).to.deep.equal(["server-header-malformed", {
            instanceId: "i-0",
            problem: "Retry-After: tomorrow",
        }]);
        expect((await metrics.malformedHeaders.get()).values[0]?.value).to.equal(100);
    });
});
