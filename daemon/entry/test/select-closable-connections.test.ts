import { expect } from "chai";
import type { HeldConnection } from "../src/held-connection.js";
import { selectClosableConnections } from "../src/select-closable-connections.js";

const NOW_MS = 50_000;

const connection = (phase: HeldConnection["phase"], quietMs: number): HeldConnection => ({
    phase,
    progressAtMs: NOW_MS - quietMs,
});

const select = (connections: readonly HeldConnection[], count: number): readonly string[] =>
    selectClosableConnections(connections, { nowMs: NOW_MS, count }).map(({ phase, progressAtMs }) =>
        `${phase} ${NOW_MS - progressAtMs}`
    );

describe("selectClosableConnections", () => {
    // Load: hundreds of connections without a byte, which took all descriptors.
    it("selects what has sent the least first, and of these the quietest", () => {
        expect(select([
            connection("idle", 9_000),
            connection("receiving", 3_000),
            connection("head", 100),
            connection("silent", 10),
            connection("silent", 400),
            connection("closing", 1),
            connection("busy", 20_000),
        ], 10)).to.deep.equal(["silent 400", "silent 10", "head 100", "closing 1", "receiving 3000", "idle 9000"]);
    });

    it("selects at most as many as were asked for", () => {
        expect(select([connection("silent", 5), connection("silent", 7), connection("idle", 2_000)], 1))
            .to.deep.equal(["silent 7"]);
    });

    it("selects no connection in progress", () => {
        expect(select([connection("receiving", 500), connection("idle", 900), connection("busy", 60_000)], 5))
            .to.deep.equal([]);
    });
});
