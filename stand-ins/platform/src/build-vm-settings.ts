import type { VmSettingsOptions } from "./vm-settings-options.js";

/** Builds the content of the settings file of an entry VM. */
export const buildVmSettings = (opts: VmSettingsOptions): unknown => {
    const { host, ports } = opts;
    return {
        nodeName: opts.vmId,
        zone: opts.availabilityZone,
        region: "local",
        ip: host,
        listen: {
            front: `${host}:${ports.caller}`,
            ready: `${host}:${ports.ready}`,
            control: `${host}:${ports.control}`,
        },
        internalPorts: [ports.fleet, ports.fleet + 10],
        seeds: opts.seedAddresses,
        bootstrap: opts.isFirstStart ?? false,
        limits: { cpuShare: 1, cores: 1, linkMbps: 100 },
        heartbeat: `${opts.heartbeatMs}ms`,
        bounds: {
            grace: "6s",
            retryBudgetRatio: 0.2,
            budgetWindow: "10s",
            budgetSlack: 58,
            probesPerS: 60,
        },
        platform: { address: opts.storeAddress },
    };
};
