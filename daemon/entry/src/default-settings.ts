import type { EntrySettingsDefaults } from "@marigoldstall/platform.adapter";

/** Applies where the settings of the platform leave a field out. Each value is on the safe side for a VM that serves. */
export const DEFAULT_SETTINGS: EntrySettingsDefaults = {
    // The store names the other VMs too.
    seedAddresses: [],
    // A restarted VM asks the others for what is in force before it reads the store, which also works at a first start.
    isFirstStart: false,
    // A VM of unknown size is the last choice for a hub.
    cpuShare: 0.1,
    machineCores: 1,
    linkMbps: 1,
    // Registrations expire after three heartbeats.
    heartbeatMs: 1_500,
    // Half of the usual share and no allowance, so that retries exceed no usual limit.
    retryBudget: { ratio: 0.1, windowMs: 10_000, extra: 0 },
    // Leaves time for the platform's balancer to take the VM out of rotation and for open requests to end.
    stopGraceMs: 6_000,
    // A third of the usual limit.
    maxProbesPerSecond: 20,
    // Below the smallest VMs in use.
    memoryBytes: 192 * 1_024 * 1_024,
    maxDescriptors: 2_048,
};
