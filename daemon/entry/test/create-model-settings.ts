import type { EntrySettings } from "@marigoldstall/core.types";

const PROBES_PER_SECOND = 60;

/** Creates the settings of a VM of the fleet model, in which the host of a VM is its id. */
export const createModelSettings = (
    index: number,
    zone: number,
    opts: {
        readonly maxProbesPerSecond?: number;
        /** With this limit, the settings have the bounds of the customers for cold servers. */
        readonly coldRequestsPerSecond?: number;
    } = {},
): EntrySettings => {
    const vmId = `vm-${String(index).padStart(3, "0")}`;
    return {
        vmId,
        availabilityZone: `zone-${zone}`,
        host: vmId,
        listen: { caller: vmId, ready: vmId, control: vmId },
        fleetPort: 7_000,
        seedAddresses: [],
        isFirstStart: true,
        cores: 0.5,
        linkMbps: 10,
        storeAddress: "store",
        heartbeatMs: 1_500,
        retryBudget: { ratio: 0.2, windowMs: 10_000, extra: 58 },
        stopGraceMs: 6_000,
        maxProbesPerSecond: opts.maxProbesPerSecond ?? PROBES_PER_SECOND,
        memoryBytes: 250 * 1_024 * 1_024,
        maxDescriptors: 4_100,
        ...opts.coldRequestsPerSecond === undefined ? {} : { coldBounds: { overFactor: 1.5, slackRequests: 8 } },
    };
};
