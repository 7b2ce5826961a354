import type { OwnershipEffect } from "@marigoldstall/fleet.ownership";

const START_MS = 1_800_000_000_000;

const member = (vmId: string, incarnation = "1", zone = vmId) => ({
    daemon: { vmId, incarnation },
    address: `127.0.0.1:${vmId}`,
    availabilityZone: zone,
});
const alpha = member("alpha");
const beta = member("beta");

const appended = (effects: readonly OwnershipEffect[], type: string): Record<string, unknown>[] =>
    effects.flatMap(effect =>
        effect.type === "append-ownership-record" ? [effect.value as Record<string, unknown>] : []
    ).filter(value => value["type"] === type);

const assign = (opts: Record<string, unknown> & { entry?: Record<string, unknown>; }) => ({
    type: "assign",
    recordId: "record",
    writer: alpha.daemon,
    basis: "bootstrap",
    ...opts,
    entries: [{
        share: 0,
        term: 1,
        owner: alpha.daemon,
        guardian: beta.daemon,
        fromMs: START_MS,
        capMs: START_MS + 60_000,
        ...opts.entry,
    }],
});

const extend = (opts: Record<string, unknown> & { entry?: Record<string, unknown>; }) => ({
    type: "extend",
    recordId: "record",
    writer: alpha.daemon,
    ...opts,
    entries: [{ share: 0, term: 1, boundMs: START_MS + 6_000, capMs: START_MS + 60_000, ...opts.entry }],
});

/** Members, and the ownership records that they write. */
export const OWNERSHIP_FIXTURE = { startMs: START_MS, alpha, beta, member, appended, assign, extend };
